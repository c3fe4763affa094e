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
	 * Factor on {@link #maxOpen} up to which connections are kept that have no complete
	 * request: three quarters of the descriptors.
	 */
	private static final double KEPT_FACTOR = 1.25;

	/**
	 * Factor on {@link #maxOpen} up to which requests are served, of which each also
	 * needs a connection to an upstream: nine tenths of the descriptors.
	 */
	private static final double SERVED_FACTOR = 1.5;

	/**
	 * Returns the limits for a process.
	 * @param descriptors the number of file descriptors that the process may open
	 * @return the limits, at least one connection each
	 */
	public static ConnectionLimits of(int descriptors) {
		return new ConnectionLimits(Math.max((int) (descriptors * OPEN_FRACTION), 1),
				Math.max((int) (descriptors * IDLE_FRACTION), 1));
	}

	/**
	 * Returns whether a connection has to be closed although none is idle.
	 * @param open the number of connections
	 * @return {@code true} if their number leaves too few descriptors for upstreams
	 */
	public boolean exceeded(int open) {
		return open > Math.max((int) (this.maxOpen * KEPT_FACTOR), 1);
	}

	/**
	 * Returns whether there are descriptors to serve another request.
	 * @param open the number of connections
	 * @param served the number of requests that are being served
	 * @return {@code true} if a connection to an upstream can be made for it
	 */
	public boolean admits(int open, int served) {
		return open + served < Math.max((int) (this.maxOpen * SERVED_FACTOR), 2);
	}

}
