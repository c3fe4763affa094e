package org.ebonyford.router.process;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;

import org.ebonyford.reducer.RouterStatus;

/**
 * Shows the state of the router among its metrics.
 */
final class StatusGauges {

	/**
	 * The milliseconds between two readings of the state.
	 */
	private static final long INTERVAL_MILLIS = 1_000;

	/**
	 * Asks the event loop for the state.
	 */
	private final Supplier<CompletableFuture<RouterStatus>> status;

	/**
	 * The state that was read last, {@code null} before the first reading.
	 */
	private volatile RouterStatus latest;

	/**
	 * Creates gauges.
	 * @param status asks the event loop for the state
	 * @param metrics the registry that the gauges are put into
	 */
	StatusGauges(Supplier<CompletableFuture<RouterStatus>> status, MetricRegistry metrics) {
		this.status = status;
		register(metrics, "router.ready", (state) -> state.ready() ? 1 : 0);
		register(metrics, "router.queued", RouterStatus::queued);
		register(metrics, "router.running", RouterStatus::running);
		register(metrics, "router.peers", (state) -> state.peers().size());
		register(metrics, "router.control.version", RouterStatus::controlVersion);
		register(metrics, "router.list.revision", RouterStatus::listRevision);
		register(metrics, "router.claims.complete", (state) -> state.claimsComplete() ? 1 : 0);
	}

	private void register(MetricRegistry metrics, String name, ToLongFunction<RouterStatus> value) {
		metrics.gauge(name, () -> (Gauge<Long>) () -> {
			RouterStatus state = this.latest;
			return (state != null) ? value.applyAsLong(state) : 0L;
		});
	}

	/**
	 * Starts to read the state.
	 * @param scheduler the scheduler that starts each reading
	 */
	void start(ScheduledExecutorService scheduler) {
		scheduler.scheduleWithFixedDelay(() -> this.status.get().thenAccept((state) -> this.latest = state), 0,
				INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
	}

}
