package org.ebonyford.emulator.http;

import java.util.List;
import java.util.function.Consumer;

import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * Listens on one port and hands every call to a handler.
 */
public final class HttpListener implements AutoCloseable {

	/**
	 * The address that stand-ins listen on.
	 */
	public static final String HOST = "127.0.0.1";

	/**
	 * The number of threads of one listener.
	 */
	private static final int THREADS = 8;

	/**
	 * The milliseconds after which an idle connection is closed.
	 */
	private static final long IDLE_MILLIS = 300_000L;

	/**
	 * The number of connections that may wait to be accepted.
	 */
	private static final int ACCEPT_QUEUE = 1024;

	/**
	 * The server that owns the threads.
	 */
	private final Server server;

	/**
	 * The connector that owns the port.
	 */
	private final ServerConnector connector;

	private HttpListener(Server server, ServerConnector connector) {
		this.server = server;
		this.connector = connector;
	}

	/**
	 * Starts to listen.
	 * @param port the port, or 0 to let the system choose one
	 * @param handler takes every call on a thread of the listener and must not block
	 * @return the listener
	 */
	public static HttpListener listen(int port, Consumer<Exchange> handler) {
		Server server = new Server(new QueuedThreadPool(THREADS, 2));
		HttpConfiguration configuration = new HttpConfiguration();
		configuration.setSendServerVersion(false);
		ServerConnector connector = new ServerConnector(server, 1, 1, new HttpConnectionFactory(configuration));
		connector.setHost(HOST);
		connector.setPort(port);
		connector.setIdleTimeout(IDLE_MILLIS);
		connector.setAcceptQueueSize(ACCEPT_QUEUE);
		server.addConnector(connector);
		server.setHandler(new ForExchanges(handler));
		server.setStopTimeout(0);
		try {
			server.start();
		}
		catch (Exception ex) {
			throw new IllegalStateException("Cannot listen on port " + port, ex);
		}
		return new HttpListener(server, connector);
	}

	/**
	 * Returns where the listener is reached.
	 * @return the host and port
	 */
	public String address() {
		return HOST + ":" + this.connector.getLocalPort();
	}

	/**
	 * Breaks every open connection.
	 */
	public void breakConnections() {
		for (EndPoint endPoint : List.copyOf(this.connector.getConnectedEndPoints())) {
			Exchange.reset(endPoint);
		}
	}

	@Override
	public void close() {
		try {
			this.server.stop();
		}
		catch (Exception ex) {
			throw new IllegalStateException("Cannot stop listening", ex);
		}
	}

	/**
	 * A handler that wraps every call.
	 */
	private static final class ForExchanges extends Handler.Abstract.NonBlocking {

		/**
		 * The handler of the wrapped calls.
		 */
		private final Consumer<Exchange> handler;

		private ForExchanges(Consumer<Exchange> handler) {
			this.handler = handler;
		}

		@Override
		public boolean handle(Request request, Response response, Callback callback) {
			this.handler.accept(new Exchange(request, response, callback));
			return true;
		}

	}

}
