import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** A consumer that keeps its connection for its next request. */
final class Caller implements AutoCloseable {

	static final String HOST = "ficu95.example";

	static final String KEY = "asnmgkcuyj8pjbvk9m68";

	private static final AtomicInteger NUMBER = new AtomicInteger();

	private final InetSocketAddress address;

	private Socket socket;

	private InputStream in;

	private final int receiveBuffer;

	Caller(InetSocketAddress address) {
		this(address, 0);
	}

	/**
	 * Creates a consumer without a connection.
	 * @param receiveBuffer the size of its receive buffer in bytes, 0 for the usual one
	 */
	Caller(InetSocketAddress address, int receiveBuffer) {
		this.address = address;
		this.receiveBuffer = receiveBuffer;
	}

	static String newId() {
		return String.format("%016x", 0x9c41d07b00000000L + NUMBER.incrementAndGet());
	}

	Socket connect() throws IOException {
		if (this.socket == null) {
			this.socket = new Socket();
			this.socket.setTcpNoDelay(true);
			if (this.receiveBuffer > 0) {
				this.socket.setReceiveBufferSize(this.receiveBuffer);
			}
			this.socket.connect(this.address, 1_000);
			this.in = new BufferedInputStream(this.socket.getInputStream());
		}
		return this.socket;
	}

	/** Sends a request without waiting for the answer. */
	void send(String method, String uri, String id, long timeLimitMillis, String headers, byte[] body)
			throws IOException {
		connect();
		byte[] head = (method + " " + uri + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Ebonyford-Request-Id: " + id
				+ "\r\nX-Ebonyford-Deadline-Ms: " + timeLimitMillis + "\r\n" + headers
				+ (method.equals("GET") ? "" : "Content-Length: " + body.length + "\r\n") + "\r\n")
			.getBytes(StandardCharsets.UTF_8);
		byte[] whole = new byte[head.length + body.length];
		System.arraycopy(head, 0, whole, 0, head.length);
		System.arraycopy(body, 0, whole, head.length, body.length);
		this.socket.getOutputStream().write(whole);
		this.socket.getOutputStream().flush();
	}

	/** Reads the answer; a status of 0 stands for a connection that ended, -1 for the time limit. */
	Answer receive(long timeLimitMillis, Runnable chunk) {
		int status = 0;
		try {
			this.socket.setSoTimeout((int) timeLimitMillis);
			String line = Http.line(this.in);
			if (line.isEmpty()) {
				throw new EOFException("the connection ended without an answer");
			}
			status = Integer.parseInt(line.split(" ")[1]);
			Map<String, String> headers = Http.headers(this.in);
			byte[] body;
			if (headers.getOrDefault("Transfer-Encoding", "").equals("chunked")) {
				body = Http.chunks(this.in, chunk);
			}
			else {
				int length = Integer.parseInt(headers.getOrDefault("Content-Length", "0"));
				body = this.in.readNBytes(length);
				if (body.length < length) {
					throw new EOFException(
							"the connection ended after " + body.length + " of " + length + " bytes of the body");
				}
			}
			if (headers.getOrDefault("Connection", "").equalsIgnoreCase("close")) {
				close();
			}
			return new Answer(status, true, headers, body, "");
		}
		catch (java.net.SocketTimeoutException ex) {
			close();
			return new Answer((status == 0) ? -1 : status, false, Map.of(), new byte[0], "the time limit passed");
		}
		catch (IOException ex) {
			close();
			return new Answer(status, false, Map.of(), new byte[0], String.valueOf(ex.getMessage()));
		}
	}

	Answer call(String method, String uri, String id, long timeLimitMillis, String headers, byte[] body) {
		try {
			send(method, uri, id, timeLimitMillis, headers, body);
		}
		catch (IOException ex) {
			close();
			return new Answer(0, false, Map.of(), new byte[0], String.valueOf(ex.getMessage()));
		}
		return receive(timeLimitMillis, () -> {
		});
	}

	@Override
	public void close() {
		try {
			if (this.socket != null) {
				this.socket.close();
			}
		}
		catch (IOException ex) {
			// It is closed.
		}
		this.socket = null;
	}

	/** An answer, and whether it is whole. */
	record Answer(int status, boolean whole, Map<String, String> headers, byte[] body, String problem) {

		String seal() {
			return this.headers.getOrDefault("X-Ebonyford-Response-Seal", "");
		}

		@Override
		public String toString() {
			return this.whole ? this.status + " whole, seal " + (seal().isEmpty() ? "none" : seal())
					: this.status + " not whole: " + this.problem;
		}

	}

}
