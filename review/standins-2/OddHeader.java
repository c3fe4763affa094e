import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Odd clients send small requests with one odd header line,
 * {@code X-Ebonyford-Token-Usage} with a comma as its value.
 */
final class OddHeader extends Case {

	private static final int CLIENTS = 100;

	private static final long INTERVAL_MILLIS = 100;

	/**
	 * The time-out of the route in milliseconds.
	 */
	private static final long TIMEOUT_MILLIS = 3_000;

	/**
	 * The time after the time-out at which an answer must have come, in milliseconds.
	 */
	private static final long SLACK_MILLIS = 500;

	/**
	 * The time limit that the clients name, in milliseconds.
	 */
	private static final long LIMIT_MILLIS = 5_000;

	/**
	 * How long the clients wait, in milliseconds.
	 */
	private static final int PATIENCE_MILLIS = 20_000;

	private static final int LEAST = 8;

	private final AtomicInteger served = new AtomicInteger();

	private final AtomicInteger longer = new AtomicInteger();

	private final AtomicInteger late = new AtomicInteger();

	private final AtomicInteger never = new AtomicInteger();

	OddHeader() throws IOException {
	}

	public static void main(String[] arguments) throws IOException {
		new OddHeader().run(arguments);
	}

	@Override
	boolean broken() throws Exception {
		configure(
				"\"path_prefix\":\"/chat/\",\"kind\":\"streaming\",\"timeout_ms\":" + TIMEOUT_MILLIS
						+ ",\"target_latency_ms\":400,\"max_attempts\":1,\"gap_aim_ms\":400",
				",\"engine\":{\"slots\":64,\"kv_capacity\":675127,\"kv_token_bytes\":35136,\"link_mbps\":740000.0,"
						+ "\"moves\":true,\"backups\":true,\"stride\":6,\"most\":12,\"pin_ms\":4000.0,"
						+ "\"hold_ms\":2000.0,\"handle_s\":5.0,\"models\":[{\"name\":\"m\"}]}");
		startEngine("c-1", "chat", 64, this::stream);
		use(new Engine("i-1", "items", this.store, this.record, 64, 20)).register();
		Gateway gateway = use(new Gateway("gateway-1", this.folder, this.store.port(), this.record)).start();
		Store.pause(3_000);
		for (int number = 1; number <= CLIENTS; number++) {
			String id = "odd-" + number;
			HttpServer.start(() -> call(gateway, id));
			Store.pause(INTERVAL_MILLIS);
		}
		Store.pause(PATIENCE_MILLIS + 1_000);
		this.record.say(CLIENTS + " requests sent, " + this.served + " served; " + this.longer
				+ " unanswered at the route's time-out, " + this.late + " of these still half a second later, "
				+ this.never + " with no answer and an open connection " + PATIENCE_MILLIS + " ms after they were sent");
		return this.late.get() >= LEAST && this.late.get() * 4 > this.longer.get();
	}

	private boolean stream(HttpMessage request, HttpServer.Exchange exchange) throws IOException {
		String id = request.header("X-Ebonyford-Request-Id");
		this.record.add("the engine runs " + id);
		exchange.answer(200, "X-Ebonyford-Request-Id: " + id + "\r\nX-Ebonyford-Response-Seal: seal-" + id
				+ "\r\nContent-Type: text/event-stream\r\n", "id: 1\ndata: x\n\n".getBytes(StandardCharsets.UTF_8));
		return true;
	}

	private void call(Gateway gateway, String id) {
		long sent = System.nanoTime();
		try (Caller caller = new Caller(gateway.callers())) {
			caller.limit(PATIENCE_MILLIS);
			caller.send(Caller.head("POST", "/chat/1", id, LIMIT_MILLIS, "Content-Length: 0\r\nX-Ebonyford-Model: m\r\n"
					+ "X-Ebonyford-Token-Usage: " + (this.trouble ? "," : "1460,80") + "\r\n")
				.getBytes(StandardCharsets.ISO_8859_1));
			this.record.add(id + " sent");
			HttpMessage answer = caller.read();
			this.record.add(id + ((answer != null) ? " answered " + answer.status() : " closed"));
			if (answer != null && answer.status() == 200) {
				this.served.incrementAndGet();
			}
		}
		catch (SocketTimeoutException ex) {
			this.never.incrementAndGet();
			this.record.add(id + " gives up");
		}
		catch (IOException ex) {
			this.record.add(id + " " + ex.getMessage());
		}
		long lasted = (System.nanoTime() - sent) / 1_000_000;
		if (lasted > TIMEOUT_MILLIS) {
			this.longer.incrementAndGet();
		}
		if (lasted > TIMEOUT_MILLIS + SLACK_MILLIS) {
			this.late.incrementAndGet();
		}
	}

}
