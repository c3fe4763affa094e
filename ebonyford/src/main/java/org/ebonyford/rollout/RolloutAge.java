package org.ebonyford.rollout;

import java.util.OptionalLong;

/**
 * The time since the order. It is measured with the clocks of processes that saw the
 * order appear, who tell it to others; the greatest counts, as a clock stands still while
 * its process is frozen. The wall clock, which may be wrong by seconds and may jump, is
 * used only if no such process is left.
 */
public final class RolloutAge {

	/**
	 * The time of the order on the clock of this process, if it is known.
	 */
	private OptionalLong orderedAtMillis = OptionalLong.empty();

	/**
	 * Notes that the time since the order is at least some time.
	 * @param millis the time in milliseconds
	 * @param nowMillis the current time of the process
	 */
	public void atLeast(long millis, long nowMillis) {
		long at = nowMillis - millis;
		if (this.orderedAtMillis.isEmpty() || at < this.orderedAtMillis.getAsLong()) {
			this.orderedAtMillis = OptionalLong.of(at);
		}
	}

	/**
	 * Returns the time since the order if processes have measured it.
	 * @param nowMillis the current time of the process
	 * @return the time in milliseconds
	 */
	public OptionalLong measuredMillis(long nowMillis) {
		return this.orderedAtMillis.isPresent() ? OptionalLong.of(nowMillis - this.orderedAtMillis.getAsLong())
				: OptionalLong.empty();
	}

	/**
	 * Returns the time since the order.
	 * @param progress the progress
	 * @param nowMillis the current time of the process
	 * @param wallMillis the current Unix time in milliseconds
	 * @return the time in milliseconds
	 */
	public long millis(RolloutProgress progress, long nowMillis, long wallMillis) {
		return measuredMillis(nowMillis).orElse(Math.max(0, wallMillis - progress.orderedAtMillis()));
	}

}
