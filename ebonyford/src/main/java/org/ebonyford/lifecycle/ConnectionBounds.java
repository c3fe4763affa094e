package org.ebonyford.lifecycle;

/**
 * How many connections of callers a process holds. It answers the load of callers that
 * come back on new connections and leave the old ones open: without bounds the process
 * runs out of descriptors, and then can neither accept callers nor reach upstreams.
 *
 * @param open the number of connections beyond which idle ones are closed
 * @param idle the number of idle connections beyond which an answer closes its connection
 */
public record ConnectionBounds(int open, int idle) {

	/**
	 * The part of the descriptors for connections of callers. The rest is for upstreams,
	 * peers, the store and files.
	 */
	private static final double OPEN_PART = 0.6;

	/**
	 * The part of the descriptors for idle connections of callers: enough for callers
	 * that reuse them, and few enough that a crowd finds descriptors.
	 */
	private static final double IDLE_PART = 0.2;

	/**
	 * Returns the bounds for a process.
	 * @param descriptors the number of descriptors that it may open
	 * @return the bounds, at least one connection each
	 */
	public static ConnectionBounds of(int descriptors) {
		return new ConnectionBounds(Math.max((int) (descriptors * OPEN_PART), 1),
				Math.max((int) (descriptors * IDLE_PART), 1));
	}

}
