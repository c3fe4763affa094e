package org.ebonyford.placement;

/**
 * What a start of an upstream has said in its answers of whether it wants requests. It
 * answers upstreams that leave before the store tells of it, and upstreams that shed
 * load. Only the upstream itself takes a notice back, by starting anew.
 *
 * @param leaving whether the upstream is about to end
 * @param waitUntil until when it wants nothing, in milliseconds
 */
public record AvailabilityNotice(boolean leaving, long waitUntil) {

	/**
	 * Nothing was said.
	 */
	public static final AvailabilityNotice NONE = new AvailabilityNotice(false, Long.MIN_VALUE);

	/**
	 * The longest time in milliseconds for which an upstream is left out at its own word,
	 * so that one wrong answer does not remove it for a day.
	 */
	private static final long MAX_WAIT_MILLIS = 600_000;

	/**
	 * Returns the notice of an upstream that leaves.
	 * @return the notice
	 */
	public AvailabilityNotice withLeaving() {
		return new AvailabilityNotice(true, this.waitUntil);
	}

	/**
	 * Returns the notice of an upstream that wants nothing for some time. A shorter wait
	 * does not replace a longer one.
	 * @param waitMillis the time in milliseconds
	 * @param now the time in milliseconds
	 * @return the notice
	 */
	public AvailabilityNotice withWait(long waitMillis, long now) {
		return new AvailabilityNotice(this.leaving,
				Math.max(this.waitUntil, now + Math.max(0, Math.min(waitMillis, MAX_WAIT_MILLIS))));
	}

	/**
	 * Returns whether the upstream wants requests.
	 * @param now the time in milliseconds
	 * @return {@code false} if it leaves or asked to wait
	 */
	public boolean accepts(long now) {
		return !this.leaving && now >= this.waitUntil;
	}

}
