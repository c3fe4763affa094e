package org.ebonyford.freshness;

/**
 * Tells whether data of the store may be outdated because this process was held up, for
 * example while it was paused or got no processor time. Its timers and reads stood still
 * meanwhile, but requests went on arriving, and are read before the first new answer of
 * the store.
 */
public final class StallGuard {

	/**
	 * The time in milliseconds between two checks above which the process was held up:
	 * several times the interval of its periodic checks.
	 */
	private static final long STALL_MILLIS = 500;

	/**
	 * The age in milliseconds up to which data is used in spite of a stall: within the
	 * two seconds in which a draining upstream must stop getting requests.
	 */
	private static final long MAX_AGE_MILLIS = 1_500;

	/**
	 * The time of the last check in milliseconds, negative before the first.
	 */
	private long checkedAt = -1;

	/**
	 * The end of the last stall in milliseconds, negative if there was none.
	 */
	private long resumedAt = -1;

	/**
	 * Notes that the process runs.
	 * @param now the time in milliseconds
	 * @return whether it was held up since the last check
	 */
	public boolean check(long now) {
		boolean stalled = this.checkedAt >= 0 && now - this.checkedAt > STALL_MILLIS;
		this.resumedAt = stalled ? now : this.resumedAt;
		this.checkedAt = now;
		return stalled;
	}

	/**
	 * Returns whether data is too old to be used, as it was read before a stall.
	 * @param ageMillis the age of the data in milliseconds, {@link Freshness#UNKNOWN_AGE}
	 * if it is unknown
	 * @param now the time in milliseconds
	 * @return {@code false} if the data is recent, or old for another reason than a stall
	 */
	public boolean outdated(long ageMillis, long now) {
		return ageMillis == Freshness.UNKNOWN_AGE
				|| (this.resumedAt >= 0 && ageMillis > MAX_AGE_MILLIS && now - ageMillis < this.resumedAt);
	}

}
