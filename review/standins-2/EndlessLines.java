import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * One engine of a service with streams is in trouble: from some moment on it sends empty
 * lines without end in its streams, until the gateway closes. Ordinary callers of another
 * service, whose engines are sound, send requests meanwhile.
 */
final class EndlessLines extends Case {

	private static final int ENGINES = 6;

	private static final int SLOTS = 64;

	/**
	 * How many of them are in trouble.
	 */
	private static final int SICK = 1;

	/**
	 * The time between two callers of streams.
	 */
	private static final long INTERVAL_MILLIS = 100;

	private static final long SPAN_MILLIS = 20_000;

	/**
	 * The moment at which the trouble begins, after the first stream.
	 */
	private static final long SOUND_MILLIS = 8_000;

	/**
	 * The events of a stream, and the time between them.
	 */
	private static final int EVENTS = 25;

	private static final long EVENT_MILLIS = 200;

	/**
	 * The time without an event after which a caller leaves its stream: eight times the
	 * longest pause of the route.
	 */
	private static final long GAP_MILLIS = 3_200;

	private static final long LIMIT_MILLIS = 15_000;

	private static final int LINES = 65_536;

	private volatile boolean inTrouble;

	EndlessLines() throws IOException {
	}

	public static void main(String[] arguments) throws IOException {
		new EndlessLines().run(arguments);
	}

	@Override
	boolean broken() throws Exception {
		configure("\"path_prefix\":\"/chat/\",\"kind\":\"streaming\",\"timeout_ms\":" + LIMIT_MILLIS
				+ ",\"target_latency_ms\":600,\"max_attempts\":1,\"gap_aim_ms\":400", "");
		use(new Engine("i-1", "items", this.store, this.record, SLOTS, 20)).register();
		for (int number = 1; number <= ENGINES; number++) {
			boolean sick = number <= SICK;
			startEngine("c-" + number, "chat", SLOTS, (request, exchange) -> stream(request, exchange, sick));
		}
		Gateway gateway = use(new Gateway("gateway-1", this.folder, this.store.port(), this.record)).start();
		Store.pause(3_000);
		OrdinaryCallers ordinary = use(new OrdinaryCallers(gateway.callers(), this.record));
		Store.pause(3_000);
		this.record.say("the callers of streams begin");
		for (int number = 1; number <= SPAN_MILLIS / INTERVAL_MILLIS; number++) {
			String id = "chat-" + number;
			HttpServer.start(() -> call(gateway, id));
			Store.pause(INTERVAL_MILLIS);
			if (this.trouble && number == SOUND_MILLIS / INTERVAL_MILLIS) {
				this.record.say("the trouble begins");
				this.inTrouble = true;
			}
		}
		this.record.say("the callers of streams have ended");
		return ordinary.late();
	}

	private boolean stream(HttpMessage request, HttpServer.Exchange exchange, boolean sick) throws IOException {
		String id = request.header("X-Ebonyford-Request-Id");
		this.record.add("an engine runs " + id);
		exchange.write(("HTTP/1.1 200 OK\r\nX-Ebonyford-Request-Id: " + id + "\r\nX-Ebonyford-Response-Seal: seal-" + id
				+ "\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n")
			.getBytes(StandardCharsets.ISO_8859_1));
		for (int event = 1; event <= EVENTS; event++) {
			if (sick && this.inTrouble) {
				sendLines(exchange, id);
			}
			exchange.write(("id: " + event + "\ndata: x\n\n").getBytes(StandardCharsets.ISO_8859_1));
			Store.pause(EVENT_MILLIS);
		}
		return false;
	}

	private void sendLines(HttpServer.Exchange exchange, String id) throws IOException {
		this.record.add("an engine in trouble sends empty lines for " + id);
		byte[] lines = "\n".repeat(LINES).getBytes(StandardCharsets.ISO_8859_1);
		long sent = 0;
		try {
			while (true) {
				exchange.write(lines);
				sent += LINES;
			}
		}
		finally {
			this.record.add("an engine in trouble has sent " + sent + " empty lines for " + id);
		}
	}

	/**
	 * Reads a stream and leaves it when its events stop.
	 */
	private void call(Gateway gateway, String id) {
		try (Socket socket = new Socket("127.0.0.1", gateway.callers())) {
			socket.getOutputStream()
				.write(Caller.head("GET", "/chat/1", id, LIMIT_MILLIS, "Connection: close\r\n")
					.getBytes(StandardCharsets.ISO_8859_1));
			this.record.add(id + " sent");
			socket.setSoTimeout((int) GAP_MILLIS);
			InputStream in = socket.getInputStream();
			byte[] buffer = new byte[LINES];
			long last = System.nanoTime();
			long empty = 0;
			while (System.nanoTime() - last < GAP_MILLIS * 1_000_000) {
				int count = in.read(buffer);
				boolean event = false;
				for (int position = 0; position < count; position++) {
					event |= buffer[position] == 'd';
				}
				if (event) {
					last = System.nanoTime();
				}
				if (count < 0) {
					this.record.add(id + " has its whole stream");
					return;
				}
				empty += count;
			}
			this.record.add(id + " leaves after " + empty + " bytes");
		}
		catch (IOException ex) {
			this.record.add(id + " " + ex.getMessage());
		}
	}

}
