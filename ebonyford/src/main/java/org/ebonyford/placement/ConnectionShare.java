package org.ebonyford.placement;

/**
 * The connections that a router may hold to an upstream that accepts a bounded number
 * from all of them. It answers the load of callers that nearly all come to one router:
 * what other routers do not use is not lost for that one. Each router keeps only a few
 * idle connections, so that those of many idle routers leave most of the number to
 * whoever needs them.
 *
 * @param maxOpen the greatest number of connections, in use or idle
 * @param maxIdle the greatest number of idle connections
 */
public record ConnectionShare(int maxOpen, int maxIdle) {

	/**
	 * The part of the accepted connections that is used. The rest covers routers that are
	 * not known yet, and requests that were not reported.
	 */
	private static final double USABLE_FRACTION = 0.85;

	/**
	 * Returns the share of a router.
	 * @param accepted the connections that the upstream accepts from all routers
	 * @param routers the number of routers
	 * @param usedByOthers the connections on which the other routers await an answer, as
	 * far as is known
	 * @return the share, which is one connection at least
	 */
	public static ConnectionShare of(int accepted, int routers, int usedByOthers) {
		int evenShare = (int) (accepted * USABLE_FRACTION / routers);
		int maxIdle = (evenShare > 1) ? evenShare / 2 : evenShare;
		int free = (int) (accepted * USABLE_FRACTION) - (routers - 1) * maxIdle - usedByOthers;
		return new ConnectionShare(Math.max(Math.max(evenShare, free), 1), Math.max(maxIdle, 1));
	}

}
