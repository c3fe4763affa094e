package org.ebonyford.lifecycle;

/**
 * Tells when a process falls behind its callers, from how late its own timer runs. It
 * answers the load of more requests than one VM can read: what is read late would reach
 * an upstream after its caller has left, so it is refused before anything is decided
 * about it, which is what lets the process catch up. Where requests are refused for their
 * organisations' shares anyway, those whose turn it is are still taken: the callers of an
 * organisation may all come to the same few VMs, and would get nothing as long as these
 * are behind.
 */
public final class EventLoopLag {

	/**
	 * The time in milliseconds between two readings.
	 */
	public static final long PERIOD_MILLIS = 50;

	/**
	 * The delay in milliseconds from which the process is behind: a third of the shortest
	 * latency targets, well over a collection of garbage.
	 */
	private static final long LAGGING_MILLIS = 150;

	/**
	 * The delay in milliseconds below which it has caught up.
	 */
	private static final long RECOVERED_MILLIS = 40;

	/**
	 * The delay in milliseconds up to which what the process measures is not distorted: a
	 * small part of the time to a first byte.
	 */
	private static final long NEGLIGIBLE_MILLIS = 20;

	/**
	 * When the timer last ran, in milliseconds; negative before that.
	 */
	private long tickedAt = -1;

	/**
	 * Whether the process is behind.
	 */
	private boolean lagging;

	/**
	 * The delay of the last reading, in milliseconds.
	 */
	private long lastLagMillis;

	/**
	 * The longest delay since it was last asked for, in milliseconds.
	 */
	private long maxLagMillis;

	/**
	 * Notes that the timer runs.
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
	 * Returns whether requests are read late. A reading that is overdue counts before it
	 * comes: in a long turn of the event loop all requests are read before any timer
	 * runs.
	 * @param now the time in milliseconds
	 * @return {@code true} from a late reading until one in time
	 */
	public boolean lagging(long now) {
		return this.lagging || currentLagMillis(now) > LAGGING_MILLIS;
	}

	/**
	 * Returns whether the process reads so early what comes to it that the time until
	 * then tells how others work.
	 * @param now the time in milliseconds
	 * @return {@code false} while the time tells of the process as well
	 */
	public boolean negligible(long now) {
		return lagMillis(now) <= NEGLIGIBLE_MILLIS;
	}

	/**
	 * Returns how late requests are read.
	 * @param now the time in milliseconds
	 * @return the delay of the last reading, or of the next one if that is overdue, in
	 * milliseconds
	 */
	public long lagMillis(long now) {
		return Math.max(this.lastLagMillis, currentLagMillis(now));
	}

	/**
	 * Returns the longest delay of a reading since the last call.
	 * @return the delay in milliseconds
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
