package org.ebonyford.placement;

/**
 * The connections that a router may hold to an upstream that accepts a limited number
 * from all routers. If nearly all callers use one router, it may also use the connections
 * that the others do not need. Each router keeps only a few idle connections, so that
 * many idle routers leave most of the limit to the busy ones.
 *
 * @param maxOpen the maximum number of connections, in use or idle
 * @param maxIdle the maximum number of idle connections
 */
public record ConnectionShare(int maxOpen, int maxIdle) {

	/**
	 * The fraction of the accepted connections that routers use. The rest covers routers
	 * that are not known yet and requests that were not reported.
	 */
	private static final double USABLE_FRACTION = 0.85;

	/**
	 * Returns the share of a router.
	 * @param accepted the connections that the upstream accepts from all routers
	 * @param routers the number of routers
	 * @param usedByOthers the connections on which the other routers await an answer, as
	 * far as is known
	 * @return the share, at least one connection
	 */
	public static ConnectionShare of(int accepted, int routers, int usedByOthers) {
		int evenShare = (int) (accepted * USABLE_FRACTION / routers);
		int maxIdle = (evenShare > 1) ? evenShare / 2 : evenShare;
		int free = (int) (accepted * USABLE_FRACTION) - (routers - 1) * maxIdle - usedByOthers;
		return new ConnectionShare(Math.max(Math.max(evenShare, free), 1), Math.max(maxIdle, 1));
	}

}
