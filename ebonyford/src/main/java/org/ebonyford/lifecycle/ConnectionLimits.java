package org.ebonyford.lifecycle;

/**
 * The number of caller connections that a process holds. Callers that reconnect without
 * closing their old connections would otherwise exhaust the file descriptors, and the
 * process could neither accept callers nor reach upstreams.
 *
 * @param maxOpen the number of connections above which idle ones are closed
 * @param maxIdle the number of idle connections above which a response closes its
 * connection
 */
public record ConnectionLimits(int maxOpen, int maxIdle) {

	/**
	 * The fraction of the descriptors for caller connections. The rest is for upstreams,
	 * peers, the store and files.
	 */
	private static final double OPEN_FRACTION = 0.6;

	/**
	 * The fraction of the descriptors for idle caller connections: enough for callers
	 * that reuse connections, and few enough that a surge of callers finds free
	 * descriptors.
	 */
	private static final double IDLE_FRACTION = 0.2;

	/**
	 * Returns the limits for a process.
	 * @param descriptors the number of file descriptors that the process may open
	 * @return the limits, at least one connection each
	 */
	public static ConnectionLimits of(int descriptors) {
		return new ConnectionLimits(Math.max((int) (descriptors * OPEN_FRACTION), 1),
				Math.max((int) (descriptors * IDLE_FRACTION), 1));
	}

}
