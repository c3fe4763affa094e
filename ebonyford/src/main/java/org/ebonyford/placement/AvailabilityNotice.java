package org.ebonyford.placement;

import java.util.OptionalDouble;

/**
 * What an upstream has announced in its answers: that it is leaving, which the router may
 * learn later from the store, that it sheds load for some time, or that it takes only so
 * many requests a second. A notice holds for one start of the upstream; apart from the
 * request rate, only a restart revokes it.
 *
 * @param leaving whether the upstream is about to end
 * @param waitUntil the time until which it accepts no requests, in milliseconds
 * @param requestsPerSecond the requests per second that it takes from all routers
 * together, empty if its last answer named no limit
 */
public record AvailabilityNotice(boolean leaving, long waitUntil, OptionalDouble requestsPerSecond) {

	/**
	 * No notice: the upstream accepts requests.
	 */
	public static final AvailabilityNotice NONE = new AvailabilityNotice(false, Long.MIN_VALUE, OptionalDouble.empty());

	/**
	 * The maximum time in milliseconds for which an upstream can exclude itself, so that
	 * one wrong answer does not remove it for a day.
	 */
	private static final long MAX_WAIT_MILLIS = 600_000;

	/**
	 * Returns this notice for an upstream that is leaving.
	 * @return the notice
	 */
	public AvailabilityNotice withLeaving() {
		return new AvailabilityNotice(true, this.waitUntil, this.requestsPerSecond);
	}

	/**
	 * Returns this notice for an upstream that accepts no requests for some time. A
	 * shorter wait does not replace a longer one.
	 * @param waitMillis the wait in milliseconds
	 * @param now the time in milliseconds
	 * @return the notice
	 */
	public AvailabilityNotice withWait(long waitMillis, long now) {
		return new AvailabilityNotice(this.leaving,
				Math.max(this.waitUntil, now + Math.max(0, Math.min(waitMillis, MAX_WAIT_MILLIS))),
				this.requestsPerSecond);
	}

	/**
	 * Returns this notice for an upstream whose latest answer names a limit, or none.
	 * @param perSecond the requests per second that it takes from all routers together
	 * @return the notice
	 */
	public AvailabilityNotice withRequestsPerSecond(OptionalDouble perSecond) {
		return new AvailabilityNotice(this.leaving, this.waitUntil, perSecond);
	}

	/**
	 * Returns whether the upstream accepts requests.
	 * @param now the time in milliseconds
	 * @return {@code false} if it is leaving or asked to wait
	 */
	public boolean accepts(long now) {
		return !this.leaving && now >= this.waitUntil;
	}

}
