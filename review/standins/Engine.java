import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** A stand-in of an engine. It registers itself in the store and reports every 1.2 s. */
final class Engine implements AutoCloseable {

	private static final long REPORT_MILLIS = 1_200;

	final String id;

	final String service;

	final String zone;

	final AtomicInteger running = new AtomicInteger();

	private final Store store;

	private final Record record;

	private final Handler handler;

	private final ServerSocket socket;

	private final long born = System.currentTimeMillis();

	private final Queue<Socket> open = new ConcurrentLinkedQueue<>();

	private final int slots;

	private volatile String state = "ready";

	private volatile boolean registered = true;

	private volatile boolean ended;

	private int sequence;

	Engine(Store store, Record record, String id, String service, String zone, int slots, Handler handler)
			throws IOException {
		this.store = store;
		this.record = record;
		this.id = id;
		this.service = service;
		this.zone = zone;
		this.slots = slots;
		this.handler = handler;
		this.socket = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
		report();
		Tasks.start("report " + id, () -> {
			while (!this.ended) {
				Tasks.sleep(REPORT_MILLIS);
				report();
			}
		});
		Tasks.start("accept " + id, this::accept);
	}

	private synchronized void report() {
		if (this.registered && !this.ended) {
			this.store.put("keyed.servers", this.id,
					"{\"service\":\"" + this.service + "\",\"address\":\"127.0.0.1:" + this.socket.getLocalPort()
							+ "\",\"zone\":\"" + this.zone + "\",\"version\":\"v1\",\"slots\":" + this.slots
							+ ",\"state\":\"" + this.state + "\",\"cold_left_ms\":0,\"sequence\":" + ++this.sequence
							+ ",\"born\":" + this.born + "}");
		}
	}

	/**
	 * Removes the entry without having reported that the engine drains.
	 * @param historyDeleted whether the store then keeps the newest record of each key only
	 */
	synchronized void deregister(boolean historyDeleted) {
		this.registered = false;
		this.state = "gone";
		synchronized (this.store) {
			this.store.drop("keyed.servers", this.id);
			if (historyDeleted) {
				this.store.deleteHistory("keyed.servers");
			}
		}
		this.record.line("the entry of engine %s is removed", this.id);
	}

	boolean leaving() {
		return !this.state.equals("ready");
	}

	/** Ends the process: all connections close. */
	@Override
	public void close() {
		this.ended = true;
		try {
			this.socket.close();
			for (Socket connection : this.open) {
				connection.close();
			}
		}
		catch (IOException ex) {
			// It is closed.
		}
	}

	private void accept() {
		try {
			while (true) {
				Socket connection = this.socket.accept();
				connection.setTcpNoDelay(true);
				this.open.add(connection);
				Tasks.start("serve " + this.id, () -> serve(connection));
			}
		}
		catch (IOException ex) {
			// The engine has ended.
		}
	}

	private void serve(Socket connection) {
		try (connection) {
			InputStream in = new BufferedInputStream(connection.getInputStream());
			for (Request request = Request.read(in); request != null; request = Request.read(in)) {
				Exchange exchange = new Exchange(this, request, connection);
				String expected = request.header("X-Ebonyford-Expect-Instance");
				if (request.uri().equals("/health")) {
					exchange.send("200 OK", "X-Ebonyford-Instance-Id: " + this.id + "\r\n", new byte[0]);
				}
				else if (!expected.isEmpty() && !expected.equals(this.id)) {
					exchange.send("421 Misdirected Request", "X-Ebonyford-Instance-Id: " + this.id + "\r\n",
							new byte[0]);
				}
				else {
					this.handler.handle(exchange);
				}
			}
		}
		catch (IOException ex) {
			// The caller has closed the connection.
		}
		finally {
			this.open.remove(connection);
		}
	}

	/** Runs the requests of an engine. */
	interface Handler {

		void handle(Exchange exchange) throws IOException;

	}

	/** A request as it arrived. */
	record Request(String method, String uri, Map<String, String> headers, byte[] body) {

		String header(String name) {
			return this.headers.getOrDefault(name, "");
		}

		String id() {
			return header("X-Ebonyford-Request-Id");
		}

		static Request read(InputStream in) throws IOException {
			String[] first = Http.line(in).split(" ");
			if (first.length < 3) {
				return null;
			}
			Map<String, String> headers = Http.headers(in);
			return new Request(first[0], first[1], headers,
					in.readNBytes(Integer.parseInt(headers.getOrDefault("Content-Length", "0"))));
		}

	}

	/** A request and the connection on which it is answered. */
	record Exchange(Engine engine, Request request, Socket connection) {

		OutputStream out() throws IOException {
			return this.connection.getOutputStream();
		}

		/** The headers that all answers of an engine have. */
		String commonHeaders() {
			return "X-Ebonyford-Server-Load: " + this.engine.running.get() + ",0," + this.engine.slots
					+ "\r\nX-Ebonyford-Request-Id: " + this.request.id() + "\r\n"
					+ (this.engine.leaving() ? "Server-Leaving: 1\r\n" : "");
		}

		String seal() {
			return "X-Ebonyford-Response-Seal: seal-" + this.engine.id + "-" + this.request.id() + "\r\n";
		}

		byte[] head(String status, String headers, int length) {
			return ("HTTP/1.1 " + status + "\r\n" + headers + commonHeaders() + "Content-Length: " + length
					+ "\r\n\r\n")
				.getBytes(StandardCharsets.ISO_8859_1);
		}

		void send(String status, String headers, byte[] body) throws IOException {
			byte[] head = head(status, headers, body.length);
			byte[] whole = new byte[head.length + body.length];
			System.arraycopy(head, 0, whole, 0, head.length);
			System.arraycopy(body, 0, whole, head.length, body.length);
			out().write(whole);
			out().flush();
		}

		void beginStream() throws IOException {
			out().write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + seal() + commonHeaders()
					+ "Transfer-Encoding: chunked\r\n\r\n")
				.getBytes(StandardCharsets.ISO_8859_1));
			out().flush();
		}

		void event(int number, String data) throws IOException {
			byte[] event = ("id: " + number + "\ndata: " + data + "\n\n").getBytes(StandardCharsets.ISO_8859_1);
			byte[] size = (Integer.toHexString(event.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
			byte[] chunk = new byte[size.length + event.length + 2];
			System.arraycopy(size, 0, chunk, 0, size.length);
			System.arraycopy(event, 0, chunk, size.length, event.length);
			chunk[chunk.length - 2] = '\r';
			chunk[chunk.length - 1] = '\n';
			out().write(chunk);
			out().flush();
		}

		void endStream() throws IOException {
			out().write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
			out().flush();
		}

	}

}
