package org.ebonyford.directory;

/**
 * How often routers tell each other of their load, and for how long a report counts. It
 * answers the load of reports themselves: every router hears every other, so the pause
 * grows with their number, and a report has to count until the next one is overdue.
 */
public final class ReportInterval {

	/**
	 * The time in milliseconds between two reports to a peer among few routers.
	 */
	private static final long SHORTEST_MILLIS = 200;

	/**
	 * The number of routers up to which reports come that often; beyond it the pause
	 * grows with their number, so that reports cost the same a second.
	 */
	private static final int FEW_ROUTERS = 10;

	/**
	 * The least time in milliseconds for which a report counts.
	 */
	private static final long LEAST_VALID_MILLIS = 2_000;

	/**
	 * The number of pauses for which a report counts: one report may be lost, and the
	 * next one late.
	 */
	private static final double VALID_PAUSES = 2.5;

	private ReportInterval() {
	}

	/**
	 * Returns the time between two reports of a router.
	 * @param routers the number of routers
	 * @return the time in milliseconds
	 */
	public static long millis(int routers) {
		return SHORTEST_MILLIS * Math.max(1, routers / FEW_ROUTERS);
	}

	/**
	 * Returns for how long a report counts.
	 * @param routers the number of routers
	 * @return the time in milliseconds
	 */
	public static long validMillis(int routers) {
		return Math.max(LEAST_VALID_MILLIS, Math.round(VALID_PAUSES * millis(routers)));
	}

}
