package org.ebonyford.rollout;

/**
 * The age of a gateway's view of the store. When the store comes back after the view had
 * become too old for sending to the target, it remains so for a while: answers that
 * arrived meanwhile may be enough for a verdict that no coordinator could write.
 */
public final class SettledView {

	/**
	 * The time in milliseconds until a view counts as current again: a coordinator that
	 * is killed while it writes the verdict is replaced within it.
	 */
	private static final long SETTLING_MILLIS = 2_000L;

	/**
	 * The age from which on nothing is sent to the target.
	 */
	private final long limitMillis;

	/**
	 * When the store was last read.
	 */
	private long readAtMillis;

	/**
	 * The time until which the view counts as too old for the target.
	 */
	private long unsettledUntilMillis = Long.MIN_VALUE;

	/**
	 * Creates a view that was just read.
	 * @param settings the operator's limits
	 * @param nowMillis the current time
	 */
	public SettledView(RolloutSettings settings, long nowMillis) {
		this.limitMillis = settings.targetViewLimitMillis();
		this.readAtMillis = nowMillis;
	}

	/**
	 * Notes that the store was read up to its end.
	 * @param nowMillis the current time
	 */
	public void read(long nowMillis) {
		if (nowMillis - this.readAtMillis > this.limitMillis) {
			this.unsettledUntilMillis = nowMillis + SETTLING_MILLIS;
		}
		this.readAtMillis = nowMillis;
	}

	/**
	 * Returns the age as {@link VersionFilter} uses it.
	 * @param nowMillis the current time
	 * @return the age in milliseconds, greater than the limit for the target until the
	 * view has settled
	 */
	public long ageMillis(long nowMillis) {
		long age = nowMillis - this.readAtMillis;
		return (nowMillis < this.unsettledUntilMillis) ? Math.max(age, this.limitMillis + 1) : age;
	}

}
