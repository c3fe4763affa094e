package org.ebonyford.router.platform;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * A service that fails in every way in turn and then answers.
 */
final class PlatformStub implements AutoCloseable {

	/**
	 * The answers of the calls that fail, one after another.
	 */
	private final Iterator<Failure> failures = List
		.of(PlatformStub::unavailable, PlatformStub::unreadable, PlatformStub::empty, PlatformStub::broken,
				(Failure) PlatformStub::silent)
		.iterator();

	/**
	 * Runs the calls.
	 */
	private final ExecutorService executor = Executors.newCachedThreadPool();

	/**
	 * The document that is answered in the end.
	 */
	private final String document;

	/**
	 * The server.
	 */
	private final HttpServer server;

	/**
	 * Starts a service.
	 * @param document the document that it answers in the end
	 */
	PlatformStub(String document) {
		this.document = document;
		try {
			this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		this.server.createContext("/", this::handle);
		this.server.setExecutor(this.executor);
		this.server.start();
	}

	/**
	 * Returns where the service is.
	 * @return the host and port
	 */
	String address() {
		return "127.0.0.1:" + this.server.getAddress().getPort();
	}

	@Override
	public void close() {
		this.server.stop(0);
		this.executor.shutdownNow();
	}

	private synchronized void handle(HttpExchange exchange) throws IOException {
		if (this.failures.hasNext()) {
			this.failures.next().answer(exchange);
			return;
		}
		answer(exchange, 200, this.document);
	}

	private static void unavailable(HttpExchange exchange) throws IOException {
		answer(exchange, 503, "busy");
	}

	private static void unreadable(HttpExchange exchange) throws IOException {
		answer(exchange, 200, "{");
	}

	private static void empty(HttpExchange exchange) throws IOException {
		answer(exchange, 200, "null");
	}

	private static void broken(HttpExchange exchange) {
		exchange.close();
	}

	private static void silent(HttpExchange exchange) {
	}

	private static void answer(HttpExchange exchange, int status, String text) throws IOException {
		byte[] body = text.getBytes(StandardCharsets.UTF_8);
		exchange.sendResponseHeaders(status, body.length);
		exchange.getResponseBody().write(body);
		exchange.close();
	}

	/**
	 * A way to fail.
	 */
	@FunctionalInterface
	private interface Failure {

		/**
		 * Answers a call.
		 * @param exchange the call
		 * @throws IOException if the connection is closed
		 */
		void answer(HttpExchange exchange) throws IOException;

	}

}
