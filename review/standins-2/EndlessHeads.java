import java.io.IOException;
import java.nio.charset.StandardCharsets;

/**
 * A third of the engines of one service are in trouble: their answers are heads of short
 * lines that do not end until the gateway closes. Ordinary callers of another service,
 * whose engines are sound, send requests meanwhile.
 */
final class EndlessHeads extends Case {

	private static final int ENGINES = 6;

	/**
	 * How many of them are in trouble.
	 */
	private static final int SICK = 2;

	private static final int SLOTS = 64;

	/**
	 * The time between two callers of the service in trouble.
	 */
	private static final long INTERVAL_MILLIS = 15;

	private static final long SPAN_MILLIS = 24_000;

	/**
	 * How long these callers wait, and the time-out of their route.
	 */
	private static final long LIMIT_MILLIS = 10_000;

	private static final long ITEM_MILLIS = 20;

	private static final long WORK_MILLIS = 2_000;

	/**
	 * The lines that come at once, and those that come after each pause.
	 */
	private static final int FIRST_LINES = 15_000;

	private static final int NEXT_LINES = 10;

	private static final long PAUSE_MILLIS = 200;

	EndlessHeads() throws IOException {
	}

	public static void main(String[] arguments) throws IOException {
		new EndlessHeads().run(arguments);
	}

	@Override
	boolean broken() throws Exception {
		configure("\"path_prefix\":\"/chat/\",\"kind\":\"idempotent\",\"timeout_ms\":" + LIMIT_MILLIS
				+ ",\"target_latency_ms\":600,\"max_attempts\":2", "");
		use(new Engine("i-1", "items", this.store, this.record, SLOTS, ITEM_MILLIS)).register();
		for (int number = 1; number <= ENGINES; number++) {
			if (this.trouble && number <= SICK) {
				startEngine("c-" + number, "chat", SLOTS, this::answerWithoutEnd);
			}
			else {
				use(new Engine("c-" + number, "chat", this.store, this.record, SLOTS, WORK_MILLIS)).register();
			}
		}
		Gateway gateway = use(new Gateway("gateway-1", this.folder, this.store.port(), this.record)).start();
		Store.pause(3_000);
		OrdinaryCallers ordinary = use(new OrdinaryCallers(gateway.callers(), this.record));
		Store.pause(5_000);
		this.record.say("the callers of the other service begin");
		for (int number = 1; number <= SPAN_MILLIS / INTERVAL_MILLIS; number++) {
			String id = "chat-" + number;
			HttpServer.start(() -> call(gateway, id));
			Store.pause(INTERVAL_MILLIS);
		}
		this.record.say("the callers of the other service have ended");
		boolean late = ordinary.late();
		this.record.say("the gateway says that it is " + (gateway.ready() ? "" : "not ") + "ready");
		return late;
	}

	private void call(Gateway gateway, String id) {
		try (Caller caller = new Caller(gateway.callers())) {
			caller.limit(LIMIT_MILLIS);
			this.record.add(id + " sent");
			HttpMessage answer = caller.get("/chat/1", id, LIMIT_MILLIS);
			this.record.add(id + ((answer != null) ? " answered " + answer.status() : " closed"));
		}
		catch (IOException ex) {
			this.record.add(id + " " + ex.getMessage());
		}
	}

	private boolean answerWithoutEnd(HttpMessage request, HttpServer.Exchange exchange) throws IOException {
		this.record.add("an engine in trouble answers " + request.header("X-Ebonyford-Request-Id"));
		exchange.write("HTTP/1.1 200 OK\r\n".getBytes(StandardCharsets.ISO_8859_1));
		exchange.write("a:\r\n".repeat(FIRST_LINES).getBytes(StandardCharsets.ISO_8859_1));
		byte[] next = "a:\r\n".repeat(NEXT_LINES).getBytes(StandardCharsets.ISO_8859_1);
		while (true) {
			Store.pause(PAUSE_MILLIS);
			exchange.write(next);
		}
	}

}
