package org.ebonyford.total;

import org.ebonyford.directory.ReportInterval;

/**
 * How often routers exchange totals, and for how long they count. It answers the load of
 * the router that adds up a data centre: it hears and answers each of the others, so the
 * pause grows with their number.
 */
public final class TotalsInterval {

	/**
	 * The time in milliseconds between two messages in a small data centre.
	 */
	private static final long MIN_INTERVAL_MILLIS = 200;

	/**
	 * The number of routers of a data centre up to which messages come that often: each
	 * of them takes some 0.05 ms of the router that adds up, of which 25 cost a hundredth
	 * of a core.
	 */
	private static final int ROUTERS_PER_MIN_INTERVAL = 25;

	/**
	 * The number of pauses for which a message counts: two may be lost.
	 */
	private static final double VALID_INTERVALS = 3.5;

	/**
	 * The time in milliseconds between two reports of a router to all others up to which
	 * these are as young as totals are.
	 */
	private static final long MAX_FRESH_REPORT_INTERVAL_MILLIS = 600;

	private TotalsInterval() {
	}

	/**
	 * Returns whether there are so many routers that totals are younger than their
	 * reports to each other.
	 * @param routers the number of all routers
	 * @return {@code true} if totals are exchanged
	 */
	public static boolean enabled(int routers) {
		return ReportInterval.millis(routers) > MAX_FRESH_REPORT_INTERVAL_MILLIS;
	}

	/**
	 * Returns the time between two messages of a router.
	 * @param routers the number of routers of its data centre
	 * @return the time in milliseconds
	 */
	public static long millis(int routers) {
		return MIN_INTERVAL_MILLIS * Math.max(1, (routers + ROUTERS_PER_MIN_INTERVAL - 1) / ROUTERS_PER_MIN_INTERVAL);
	}

	/**
	 * Returns for how long a message counts.
	 * @param routers the number of routers of the sender's data centre
	 * @return the time in milliseconds
	 */
	public static long validMillis(int routers) {
		return Math.round(VALID_INTERVALS * millis(routers));
	}

}
