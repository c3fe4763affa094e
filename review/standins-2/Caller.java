import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * A caller with one connection to a gateway.
 */
final class Caller implements Closeable {

	/**
	 * The host of the routes.
	 */
	static final String HOST = "shop.example";

	private final Socket socket = new Socket();

	private final InputStream in;

	Caller(int port) throws IOException {
		this.socket.setTcpNoDelay(true);
		this.socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
		this.socket.setSoTimeout(20_000);
		this.in = new BufferedInputStream(this.socket.getInputStream());
	}

	/**
	 * Returns the head of a request.
	 * @param method the method
	 * @param path the path
	 * @param id the identifier of the request
	 * @param millis for how long the caller waits, in milliseconds
	 * @param more further header lines, each with its end
	 * @return the head
	 */
	static String head(String method, String path, String id, long millis, String more) {
		return method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Ebonyford-Request-Id: " + id
				+ "\r\nX-Ebonyford-Deadline-Ms: " + millis + "\r\n" + more + "\r\n";
	}

	/**
	 * Sets how long to wait for an answer.
	 * @param millis the time in milliseconds
	 * @throws IOException if the connection is closed
	 */
	void limit(long millis) throws IOException {
		this.socket.setSoTimeout((int) millis);
	}

	void send(byte[] bytes) throws IOException {
		this.socket.getOutputStream().write(bytes);
		this.socket.getOutputStream().flush();
	}

	/**
	 * Sends a request without a body and reads its answer.
	 * @param path the path
	 * @param id the identifier of the request
	 * @param millis for how long the caller waits, in milliseconds
	 * @return the answer, {@code null} if the connection was closed
	 * @throws IOException if the connection breaks
	 */
	HttpMessage get(String path, String id, long millis) throws IOException {
		send(head("GET", path, id, millis, "").getBytes(StandardCharsets.ISO_8859_1));
		return HttpMessage.read(this.in);
	}

	HttpMessage read() throws IOException {
		return HttpMessage.read(this.in);
	}

	@Override
	public void close() {
		try {
			this.socket.close();
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
