package org.ebonyford.lifecycle;

/**
 * Measures how late the event loop runs its timer, and decides when the process no longer
 * keeps up with its callers. With more requests than one VM can read, a request that is
 * read late would reach an upstream after its caller has left, so it is rejected before
 * any other decision is made about it; this lets the process catch up. Where requests are
 * rejected for organisations' shares anyway, requests within the share are still
 * admitted: all callers of an organisation may come to the same few VMs, and would get
 * nothing while these lag.
 */
public final class EventLoopLag {

	/**
	 * The timer period in milliseconds.
	 */
	public static final long PERIOD_MILLIS = 50;

	/**
	 * The lag in milliseconds above which the process is lagging: a third of the shortest
	 * latency targets, well over a garbage collection pause.
	 */
	private static final long LAGGING_MILLIS = 150;

	/**
	 * The lag in milliseconds at or below which the process has recovered.
	 */
	private static final long RECOVERED_MILLIS = 40;

	/**
	 * The lag in milliseconds up to which the latencies that the process measures are not
	 * distorted: a small part of the time to first byte.
	 */
	private static final long NEGLIGIBLE_MILLIS = 20;

	/**
	 * The time of the last timer run in milliseconds, negative before the first.
	 */
	private long tickedAt = -1;

	/**
	 * Whether the process lagged at the last timer run.
	 */
	private boolean lagging;

	/**
	 * The lag of the last timer run in milliseconds.
	 */
	private long lastLagMillis;

	/**
	 * The maximum lag since the last call of {@link #drainMaxLagMillis}, in milliseconds.
	 */
	private long maxLagMillis;

	/**
	 * Records a run of the timer.
	 * @param now the time in milliseconds
	 */
	public void recordTick(long now) {
		long last = currentLagMillis(now);
		this.lastLagMillis = last;
		this.maxLagMillis = Math.max(this.maxLagMillis, last);
		this.lagging = last > (this.lagging ? RECOVERED_MILLIS : LAGGING_MILLIS);
		this.tickedAt = now;
	}

	/**
	 * Returns whether requests are read late. An overdue timer counts before it runs: in
	 * a long iteration of the event loop all requests are read before any timer runs.
	 * @param now the time in milliseconds
	 * @return {@code true} from a late timer run until one that is in time
	 */
	public boolean lagging(long now) {
		return this.lagging || currentLagMillis(now) > LAGGING_MILLIS;
	}

	/**
	 * Returns whether the lag is so small that latencies measured by this process reflect
	 * the upstreams alone.
	 * @param now the time in milliseconds
	 * @return {@code false} while the measurements include this process's own lag
	 */
	public boolean negligible(long now) {
		return lagMillis(now) <= NEGLIGIBLE_MILLIS;
	}

	/**
	 * Returns how late requests are read.
	 * @param now the time in milliseconds
	 * @return the lag of the last timer run, or of the next one if that is overdue and
	 * later, in milliseconds
	 */
	public long lagMillis(long now) {
		return Math.max(this.lastLagMillis, currentLagMillis(now));
	}

	/**
	 * Returns the maximum lag of a timer run since the last call, and resets it.
	 * @return the lag in milliseconds
	 */
	public long drainMaxLagMillis() {
		long drained = this.maxLagMillis;
		this.maxLagMillis = 0;
		return drained;
	}

	private long currentLagMillis(long now) {
		return (this.tickedAt < 0) ? 0 : now - this.tickedAt - PERIOD_MILLIS;
	}

}
