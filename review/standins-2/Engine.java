import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stands for an engine of a plain service. It registers in the store, runs requests and
 * drops them when their connection closes.
 */
final class Engine implements Closeable {

	/**
	 * The interval of its liveness reports in milliseconds.
	 */
	static final long HEARTBEAT_MILLIS = 1_200;

	/**
	 * The interval in milliseconds at which it looks whether the connection of a running
	 * request is closed.
	 */
	private static final int LOOK_MILLIS = 10;

	private final String id;

	private final String service;

	private final Store store;

	private final CaseRecord record;

	private final int slots;

	private final long workMillis;

	private final long born = System.currentTimeMillis();

	private final HttpServer server;

	private final AtomicInteger running = new AtomicInteger();

	private volatile boolean registered;

	Engine(String id, String service, Store store, CaseRecord record, int slots, long workMillis) throws IOException {
		this.id = id;
		this.service = service;
		this.store = store;
		this.record = record;
		this.slots = slots;
		this.workMillis = workMillis;
		this.server = new HttpServer(0, this::handle);
	}

	/**
	 * Registers the engine, which reports regularly from now on.
	 * @return the engine
	 */
	Engine register() {
		this.registered = true;
		this.record.add("engine " + this.id + " registers at port " + this.server.port());
		HttpServer.start(() -> {
			for (int sequence = 1; this.registered; sequence++) {
				report(sequence);
				Store.pause(HEARTBEAT_MILLIS);
			}
		});
		return this;
	}

	private synchronized void report(int sequence) {
		if (this.registered) {
			this.store.write("keyed.servers", this.id,
					entry(this.service, this.server.port(), this.slots, sequence, this.born));
		}
	}

	/**
	 * Returns what an engine that is ready and warm says of itself.
	 * @param service its service
	 * @param port its port
	 * @param slots its places
	 * @param sequence the number of the report
	 * @param born the start of the engine in Unix milliseconds
	 * @return the value of its record
	 */
	static String entry(String service, int port, int slots, int sequence, long born) {
		return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + port
				+ "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":" + slots
				+ ",\"state\":\"ready\",\"cold_left_ms\":0,\"sequence\":" + sequence + ",\"born\":" + born + "}";
	}

	private boolean handle(HttpMessage request, HttpServer.Exchange exchange) throws IOException {
		String requestId = request.header("X-Ebonyford-Request-Id");
		String common = requestId.isEmpty() ? "" : "X-Ebonyford-Request-Id: " + requestId + "\r\n";
		if (request.path().equals("/health")) {
			exchange.answer(200, "X-Ebonyford-Instance-Id: " + this.id + "\r\n", new byte[0]);
			return true;
		}
		if (!request.header("X-Ebonyford-Expect-Instance").equals(this.id)) {
			exchange.answer(421, common + "X-Ebonyford-Instance-Id: " + this.id + "\r\n", new byte[0]);
			return true;
		}
		if (this.running.incrementAndGet() > this.slots) {
			this.running.decrementAndGet();
			exchange.answer(503, common + "X-Ebonyford-Not-Executed: 1\r\n", new byte[0]);
			return true;
		}
		this.record.add("engine " + this.id + " runs " + requestId);
		boolean connected = work(exchange);
		this.running.decrementAndGet();
		this.record.add("engine " + this.id + (connected ? " has run " : " drops ") + requestId);
		if (connected) {
			exchange.answer(200, common + "X-Ebonyford-Response-Seal: seal-" + requestId + "\r\n",
					("body of " + requestId).getBytes(StandardCharsets.UTF_8));
		}
		return connected;
	}

	/**
	 * Works on a request.
	 * @return whether the connection stayed open
	 */
	private boolean work(HttpServer.Exchange exchange) throws IOException {
		InputStream in = exchange.in();
		long end = System.nanoTime() + this.workMillis * 1_000_000;
		exchange.connection().setSoTimeout(LOOK_MILLIS);
		try {
			while (System.nanoTime() < end) {
				try {
					in.mark(1);
					if (in.read() < 0) {
						return false;
					}
					in.reset();
					Store.pause(LOOK_MILLIS);
				}
				catch (SocketTimeoutException ex) {
					// The connection is open.
				}
			}
			return true;
		}
		finally {
			if (!exchange.connection().isClosed()) {
				exchange.connection().setSoTimeout(0);
			}
		}
	}

	@Override
	public void close() {
		this.registered = false;
		this.server.close();
	}

}
