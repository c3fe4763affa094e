package org.ebonyford.rollout;

/**
 * When the steps of a roll-out are due. Requests move as late as the time limit allows,
 * as a version may turn bad at any moment and the requests that it got before count, too.
 *
 * @param shiftMillis the time after the order from which on half of the requests move
 * @param retireMillis the time from which on no new requests go to other versions
 * @param doubtMillis the time from which on a target is rolled back if the evidence is
 * against it
 * @param lastShiftMillis the time after which requests no longer begin to move
 * @param silentMillis the time from which on gateways that are silent are not waited for
 * @param endMillis the time from which on open requests are not waited for
 * @param knownMillis the time from which on the retirement is known to all gateways
 * @param durationMillis the time limit
 */
public record RolloutSchedule(long shiftMillis, long retireMillis, long doubtMillis, long lastShiftMillis,
		long silentMillis, long endMillis, long knownMillis, long durationMillis) {

	/**
	 * The time in milliseconds before the time limit at which requests begin to move. If
	 * the coordinator is killed at each of the last three steps and the store cannot be
	 * reached for 4.5 s, it takes 10.7 s: a second until the next coordinator acts, 0.6 s
	 * for its first reading and a report of each gateway, and 0.4 s between two steps.
	 */
	private static final long SHIFT_BEFORE_MILLIS = 11_000L;

	/**
	 * The time in milliseconds before the time limit at which other versions retire: the
	 * same for the last two steps.
	 */
	private static final long RETIRE_BEFORE_MILLIS = 8_500L;

	/**
	 * The time in milliseconds before the time limit from which on silent gateways, which
	 * are most likely killed ones, are not waited for: two changes of the coordinator.
	 */
	private static final long SILENT_BEFORE_MILLIS = 6_000L;

	/**
	 * The time in milliseconds before the time limit at which open requests are no longer
	 * waited for: one change of the coordinator, another second by which the wall clock
	 * may be wrong, and the writes of progress and status.
	 */
	private static final long END_BEFORE_MILLIS = 4_000L;

	/**
	 * The time in milliseconds before the time limit at which a coordinator that has just
	 * started takes for granted that the retirement is known to all.
	 */
	private static final long KNOWN_BEFORE_MILLIS = 2_500L;

	/**
	 * The time in milliseconds before the time limit after which requests no longer begin
	 * to move: two steps of 0.4 s and their way to the gateways.
	 */
	private static final long LAST_SHIFT_BEFORE_MILLIS = 2_000L;

	/**
	 * The time in milliseconds before the time limit at which a target is rolled back if
	 * the evidence is against it.
	 */
	private static final long DOUBT_BEFORE_MILLIS = 6_500L;

	/**
	 * The part of the time limit before which no requests move, if the limit is short.
	 */
	private static final double MIN_CANARY_PART = 0.6;

	/**
	 * Returns the schedule for a time limit.
	 * @param durationMillis the time limit
	 * @return the schedule
	 */
	public static RolloutSchedule of(long durationMillis) {
		double scale = Math.min(1, (1 - MIN_CANARY_PART) * durationMillis / SHIFT_BEFORE_MILLIS);
		return new RolloutSchedule(before(durationMillis, SHIFT_BEFORE_MILLIS, scale),
				before(durationMillis, RETIRE_BEFORE_MILLIS, scale), before(durationMillis, DOUBT_BEFORE_MILLIS, scale),
				before(durationMillis, LAST_SHIFT_BEFORE_MILLIS, scale),
				before(durationMillis, SILENT_BEFORE_MILLIS, scale), before(durationMillis, END_BEFORE_MILLIS, scale),
				before(durationMillis, KNOWN_BEFORE_MILLIS, scale), durationMillis);
	}

	private static long before(long durationMillis, long millis, double scale) {
		return durationMillis - Math.round(millis * scale);
	}

}
