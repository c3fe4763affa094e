package org.ebonyford.router.upstream;

import java.util.concurrent.CancellationException;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.apache.hc.client5.http.HttpRoute;
import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.config.TlsConfig;
import org.apache.hc.client5.http.impl.async.HttpAsyncClients;
import org.apache.hc.client5.http.impl.async.MinimalHttpAsyncClient;
import org.apache.hc.client5.http.impl.nio.PoolingAsyncClientConnectionManager;
import org.apache.hc.client5.http.impl.nio.PoolingAsyncClientConnectionManagerBuilder;
import org.apache.hc.client5.http.nio.AsyncConnectionEndpoint;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.http2.HttpVersionPolicy;
import org.apache.hc.core5.http2.config.H2Config;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.pool.PoolConcurrencyPolicy;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;

/**
 * The pooled connections to upstreams. The client is the minimal one, which has no
 * retries, redirects, cookies or authentication of its own; connections are leased one by
 * one, so that it is known when anything is handed to one and whether it may be used
 * again.
 */
public final class UpstreamConnections implements AutoCloseable {

	/**
	 * The milliseconds in which idle connections are closed in an orderly way.
	 */
	private static final long SHUTDOWN_MILLIS = 200;

	/**
	 * The bounds on the connections.
	 */
	private final UpstreamSettings settings;

	/**
	 * The bytes of an answer that are kept before its upstream is slowed down.
	 */
	private final int bufferBytes;

	/**
	 * The pool.
	 */
	private final PoolingAsyncClientConnectionManager pool;

	/**
	 * Runs the threads that serve the connections.
	 */
	private final MinimalHttpAsyncClient client;

	/**
	 * Ends waits for a connection, since the pool looks at its waits only when a
	 * connection comes back.
	 */
	private final ScheduledExecutorService scheduler;

	/**
	 * Creates a pool without connections and starts its threads.
	 * @param settings the bounds on the connections
	 * @param bufferBytes the bytes of an answer that are kept before its upstream is
	 * slowed down
	 * @param scheduler ends waits for a connection
	 */
	public UpstreamConnections(UpstreamSettings settings, int bufferBytes, ScheduledExecutorService scheduler) {
		this.settings = settings;
		this.bufferBytes = bufferBytes;
		this.scheduler = scheduler;
		this.pool = pool(settings);
		IOReactorConfig reactor = IOReactorConfig.custom()
			.setIoThreadCount(settings.ioThreads())
			.setTcpNoDelay(true)
			.build();
		Http1Config http = Http1Config.custom().setInitialWindowSize(bufferBytes).build();
		this.client = HttpAsyncClients.createMinimal(H2Config.DEFAULT, http, reactor, this.pool);
		this.client.start();
	}

	/**
	 * Returns the bytes of an answer that are kept before its upstream is slowed down.
	 * @return the number of bytes, which is also the largest event of a stream
	 */
	int bufferBytes() {
		return this.bufferBytes;
	}

	/**
	 * Leases a connection, and makes it if none is idle.
	 * @param host the upstream
	 * @param leased takes the connection
	 * @param failed takes the cause if there is none in time
	 */
	void lease(HttpHost host, Consumer<AsyncConnectionEndpoint> leased, Consumer<Exception> failed) {
		Timeout wait = Timeout.ofMilliseconds(this.settings.poolWaitMillis());
		Future<?> lease = this.pool.lease("", new HttpRoute(host), null, wait, new Callback(failed, (endpoint) -> {
			if (endpoint.isConnected()) {
				activate(endpoint, leased);
				return;
			}
			connect(endpoint, leased, failed);
		}));
		if (!lease.isDone()) {
			this.scheduler.schedule(() -> lease.cancel(true), this.settings.poolWaitMillis(), TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * Gives back a connection whose exchange has ended cleanly.
	 * @param endpoint the connection
	 */
	void reuse(AsyncConnectionEndpoint endpoint) {
		this.pool.release(endpoint, null, TimeValue.ofMilliseconds(this.settings.keepAliveMillis()));
	}

	/**
	 * Closes a connection at once and forgets it.
	 * @param endpoint the connection
	 */
	void discard(AsyncConnectionEndpoint endpoint) {
		endpoint.close(CloseMode.IMMEDIATE);
		this.pool.release(endpoint, null, TimeValue.ZERO_MILLISECONDS);
	}

	@Override
	public void close() {
		this.client.initiateShutdown();
		try {
			this.client.awaitShutdown(TimeValue.ofMilliseconds(SHUTDOWN_MILLIS));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		this.client.close(CloseMode.IMMEDIATE);
	}

	private void connect(AsyncConnectionEndpoint endpoint, Consumer<AsyncConnectionEndpoint> leased,
			Consumer<Exception> failed) {
		Timeout timeout = Timeout.ofMilliseconds(this.settings.connectTimeoutMillis());
		Consumer<Exception> failure = (ex) -> {
			discard(endpoint);
			failed.accept(ex);
		};
		this.pool.connect(endpoint, this.client, timeout, null, HttpCoreContext.create(),
				new Callback(failure, (connected) -> activate(connected, leased)));
	}

	private void activate(AsyncConnectionEndpoint endpoint, Consumer<AsyncConnectionEndpoint> leased) {
		endpoint.setSocketTimeout(Timeout.ofMilliseconds(this.settings.silenceMillis()));
		leased.accept(endpoint);
	}

	private static PoolingAsyncClientConnectionManager pool(UpstreamSettings settings) {
		Timeout connect = Timeout.ofMilliseconds(settings.connectTimeoutMillis());
		return PoolingAsyncClientConnectionManagerBuilder.create()
			.setMaxConnTotal(settings.maxConnections())
			.setMaxConnPerRoute(settings.maxConnectionsPerUpstream())
			.setPoolConcurrencyPolicy(PoolConcurrencyPolicy.STRICT)
			.setDefaultTlsConfig(TlsConfig.custom().setVersionPolicy(HttpVersionPolicy.FORCE_HTTP_1).build())
			.setDefaultConnectionConfig(ConnectionConfig.custom().setConnectTimeout(connect).build())
			.build();
	}

	/**
	 * A callback out of two functions.
	 *
	 * @param failure takes the cause of a failure
	 * @param completion takes the connection
	 */
	private record Callback(Consumer<Exception> failure,
			Consumer<AsyncConnectionEndpoint> completion) implements FutureCallback<AsyncConnectionEndpoint> {

		@Override
		public void completed(AsyncConnectionEndpoint endpoint) {
			this.completion.accept(endpoint);
		}

		@Override
		public void failed(Exception ex) {
			this.failure.accept(ex);
		}

		@Override
		public void cancelled() {
			this.failure.accept(new CancellationException());
		}

	}

}
