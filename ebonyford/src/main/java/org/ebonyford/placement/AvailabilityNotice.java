package org.ebonyford.placement;

/**
 * What an upstream has announced in its answers: that it is leaving, which the router may
 * learn later from the store, or that it sheds load for some time. A notice holds for one
 * start of the upstream; only a restart revokes it.
 *
 * @param leaving whether the upstream is about to end
 * @param waitUntil the time until which it accepts no requests, in milliseconds
 */
public record AvailabilityNotice(boolean leaving, long waitUntil) {

	/**
	 * No notice: the upstream accepts requests.
	 */
	public static final AvailabilityNotice NONE = new AvailabilityNotice(false, Long.MIN_VALUE);

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
		return new AvailabilityNotice(true, this.waitUntil);
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
				Math.max(this.waitUntil, now + Math.max(0, Math.min(waitMillis, MAX_WAIT_MILLIS))));
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
