package org.ebonyford.lifecycle;

/**
 * How many connections of callers a process holds. It answers the load of callers that
 * come back on new connections and leave the old ones open: without bounds the process
 * runs out of descriptors, and then can neither accept callers nor reach upstreams.
 *
 * @param maxOpen the number of connections beyond which idle ones are closed
 * @param maxIdle the number of idle connections beyond which an answer closes its
 * connection
 */
public record ConnectionLimits(int maxOpen, int maxIdle) {

	/**
	 * The part of the descriptors for connections of callers. The rest is for upstreams,
	 * peers, the store and files.
	 */
	private static final double OPEN_FRACTION = 0.6;

	/**
	 * The part of the descriptors for idle connections of callers: enough for callers
	 * that reuse them, and few enough that a crowd finds descriptors.
	 */
	private static final double IDLE_FRACTION = 0.2;

	/**
	 * Returns the bounds for a process.
	 * @param descriptors the number of descriptors that it may open
	 * @return the bounds, at least one connection each
	 */
	public static ConnectionLimits of(int descriptors) {
		return new ConnectionLimits(Math.max((int) (descriptors * OPEN_FRACTION), 1),
				Math.max((int) (descriptors * IDLE_FRACTION), 1));
	}

}
