package org.ebonyford.router.process;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import com.google.inject.Inject;
import org.apache.hc.client5.http.impl.async.CloseableHttpAsyncClient;

import org.ebonyford.event.Event;
import org.ebonyford.log.LogEvent;
import org.ebonyford.router.log.HttpLogClient;
import org.ebonyford.router.loop.EventLoop;
import org.ebonyford.router.peer.PeerServer;
import org.ebonyford.router.platform.LoadPoller;
import org.ebonyford.router.platform.VmListPoller;
import org.ebonyford.router.upstream.UpstreamConnections;
import org.ebonyford.time.Clock;

/**
 * A router from its start to its end.
 */
final class RouterProcess {

	/**
	 * The writer of the log.
	 */
	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/**
	 * Applies the events.
	 */
	private final EventLoop loop;

	/**
	 * Listens for callers and operators.
	 */
	private final HttpServer http;

	/**
	 * Listens for other routers.
	 */
	private final PeerServer peers;

	/**
	 * Reads the list of VMs.
	 */
	private final VmListPoller list;

	/**
	 * Asks upstreams for their load.
	 */
	private final LoadPoller load;

	/**
	 * Reads the streams of the log.
	 */
	private final LogReaders log;

	/**
	 * Show the state of the router among its metrics.
	 */
	private final StatusGauges gauges;

	/**
	 * Runs what is due at a time.
	 */
	private final ScheduledExecutorService scheduler;

	/**
	 * Stamps the events.
	 */
	private final Clock clock;

	/**
	 * What is closed at the end, the last one first.
	 */
	private final Deque<AutoCloseable> closeables = new ArrayDeque<>();

	/**
	 * Completes when the router has stopped and all its parts are closed.
	 */
	private final CompletableFuture<Void> stopped;

	/**
	 * Creates a process that is not started.
	 * @param loop applies the events
	 * @param http listens for callers and operators
	 * @param peers listens for other routers
	 * @param list reads the list of VMs
	 * @param load asks upstreams for their load
	 * @param log reads the streams of the log
	 * @param gauges show the state of the router among its metrics
	 * @param scheduler runs what is due at a time
	 * @param clock stamps the events
	 * @param exit completes when the router has nothing left to do
	 * @param logClient the client of the log service
	 * @param upstreams the connections to upstreams
	 * @param platform the connections to the platform
	 */
	@Inject
	RouterProcess(EventLoop loop, HttpServer http, PeerServer peers, VmListPoller list, LoadPoller load, LogReaders log,
			StatusGauges gauges, ScheduledExecutorService scheduler, Clock clock, Exit exit, HttpLogClient logClient,
			UpstreamConnections upstreams, CloseableHttpAsyncClient platform) {
		this.loop = loop;
		this.http = http;
		this.peers = peers;
		this.list = list;
		this.load = load;
		this.log = log;
		this.gauges = gauges;
		this.scheduler = scheduler;
		this.clock = clock;
		this.stopped = exit.future().thenRunAsync(this::close);
		this.closeables.push(logClient);
		this.closeables.push(upstreams);
		this.closeables.push(platform);
	}

	/**
	 * Starts the router.
	 * @return completes when the router has stopped, or fails if it cannot start
	 */
	CompletableFuture<Void> start() {
		try {
			this.loop.start();
			int peersPort = this.peers.start();
			this.http.start();
			this.log.start();
			this.list.start(this.scheduler);
			this.load.start(this.scheduler);
			this.gauges.start(this.scheduler);
			EventLog.INSTANCE.write(LogEvent.STARTED, "callers=" + this.http.callersPort() + " operators="
					+ this.http.operatorsPort() + " peers=" + peersPort);
		}
		catch (Exception ex) {
			close();
			return CompletableFuture.failedFuture(ex);
		}
		return this.stopped;
	}

	/**
	 * Asks the router to finish what it has and to stop.
	 */
	void stop() {
		this.loop.accept(new Event.StopRequested(this.clock.millis()));
	}

	/**
	 * Waits until the router has stopped.
	 * @param timeoutMillis the milliseconds to wait at most
	 */
	void awaitEnd(long timeoutMillis) {
		this.stopped.completeOnTimeout(null, timeoutMillis, TimeUnit.MILLISECONDS).join();
	}

	private void close() {
		this.scheduler.shutdownNow();
		this.log.close();
		close(this.http);
		close(this.peers);
		this.closeables.forEach(RouterProcess::close);
		close(this.loop);
	}

	private static void close(AutoCloseable closeable) {
		try {
			closeable.close();
		}
		catch (Exception ex) {
			logger.atWarning().withCause(ex).log("A part of the router could not be closed");
		}
	}

	/**
	 * The end of the process.
	 *
	 * @param future completes when the router has nothing left to do
	 */
	record Exit(CompletableFuture<Void> future) {

	}

}
