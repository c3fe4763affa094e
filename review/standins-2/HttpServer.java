import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A server on the loopback interface with a thread for each connection.
 */
final class HttpServer implements Closeable {

	private static final int BACKLOG = 1_024;

	private final ServerSocket socket;

	private final Handler handler;

	private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

	HttpServer(int port, Handler handler) throws IOException {
		this.handler = handler;
		this.socket = new ServerSocket();
		this.socket.setReuseAddress(true);
		this.socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), BACKLOG);
		start(this::accept);
	}

	static void start(Runnable task) {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		thread.start();
	}

	int port() {
		return this.socket.getLocalPort();
	}

	private void accept() {
		while (!this.socket.isClosed()) {
			try {
				Socket accepted = this.socket.accept();
				accepted.setTcpNoDelay(true);
				this.connections.add(accepted);
				start(() -> serve(accepted));
			}
			catch (IOException ex) {
				// The server was closed.
			}
		}
	}

	private void serve(Socket connection) {
		try (connection) {
			InputStream in = new BufferedInputStream(connection.getInputStream());
			for (HttpMessage request = HttpMessage.read(in); request != null; request = HttpMessage.read(in)) {
				if (!this.handler.handle(request, new Exchange(connection, in))) {
					return;
				}
			}
		}
		catch (IOException | RuntimeException ex) {
			// The other side has closed the connection.
		}
		finally {
			this.connections.remove(connection);
		}
	}

	/**
	 * Stops listening and closes all connections.
	 */
	@Override
	public void close() {
		try {
			this.socket.close();
			for (Socket connection : this.connections) {
				connection.close();
			}
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

	/**
	 * Answers requests.
	 */
	interface Handler {

		/**
		 * Answers a request.
		 * @param request the request
		 * @param exchange writes the answer
		 * @return whether the connection may carry another request
		 * @throws IOException if the connection breaks
		 */
		boolean handle(HttpMessage request, Exchange exchange) throws IOException;

	}

	/**
	 * A request that awaits its answer.
	 *
	 * @param connection the connection
	 * @param in what comes on it
	 */
	record Exchange(Socket connection, InputStream in) {

		void answer(int status, String headers, byte[] body) throws IOException {
			String head = "HTTP/1.1 " + status + " Status\r\nContent-Length: " + body.length + "\r\n" + headers + "\r\n";
			byte[] bytes = new byte[head.length() + body.length];
			System.arraycopy(head.getBytes(StandardCharsets.ISO_8859_1), 0, bytes, 0, head.length());
			System.arraycopy(body, 0, bytes, head.length(), body.length);
			write(bytes);
		}

		void write(byte[] bytes) throws IOException {
			this.connection.getOutputStream().write(bytes);
			this.connection.getOutputStream().flush();
		}

	}

}
