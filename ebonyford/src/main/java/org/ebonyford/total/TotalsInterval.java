package org.ebonyford.total;

import org.ebonyford.directory.ReportInterval;

/**
 * Decides how often routers exchange totals, and how long these are valid. The interval
 * grows with the number of routers of a data centre, which bounds the load on its
 * collector: it receives and answers a message of each.
 */
public final class TotalsInterval {

	/**
	 * The interval in milliseconds in a small data centre.
	 */
	private static final long MIN_INTERVAL_MILLIS = 200;

	/**
	 * The number of routers of a data centre up to which the minimum interval is used:
	 * each message takes some 0.05 ms of the collector, so 25 of them cost a hundredth of
	 * a core.
	 */
	private static final int ROUTERS_PER_MIN_INTERVAL = 25;

	/**
	 * The number of intervals for which totals are valid: two messages may be lost.
	 */
	private static final double VALID_INTERVALS = 3.5;

	/**
	 * The interval in milliseconds between two reports of a router to all others up to
	 * which the reports are as fresh as totals.
	 */
	private static final long MAX_FRESH_REPORT_INTERVAL_MILLIS = 600;

	private TotalsInterval() {
	}

	/**
	 * Returns whether there are so many routers that totals are fresher than the routers'
	 * reports to each other.
	 * @param routers the number of all routers
	 * @return {@code true} if totals are exchanged
	 */
	public static boolean enabled(int routers) {
		return ReportInterval.millis(routers) > MAX_FRESH_REPORT_INTERVAL_MILLIS;
	}

	/**
	 * Returns the interval between two messages of a router.
	 * @param routers the number of routers of its data centre
	 * @return the interval in milliseconds
	 */
	public static long millis(int routers) {
		return MIN_INTERVAL_MILLIS * Math.max(1, (routers + ROUTERS_PER_MIN_INTERVAL - 1) / ROUTERS_PER_MIN_INTERVAL);
	}

	/**
	 * Returns how long the totals in a message are valid.
	 * @param routers the number of routers of the sender's data centre
	 * @return the time in milliseconds
	 */
	public static long validMillis(int routers) {
		return Math.round(VALID_INTERVALS * millis(routers));
	}

}
