package org.ebonyford.placement;

/**
 * The connections that a router may hold to an upstream that accepts a bounded number
 * from all of them. It answers the load of callers that nearly all come to one router:
 * what other routers do not use is not lost for that one. Each router keeps only a few
 * idle connections, so that those of many idle routers leave most of the number to
 * whoever needs them.
 *
 * @param open the greatest number of connections, in use or idle
 * @param kept the greatest number of idle connections
 */
public record ConnectionShare(int open, int kept) {

	/**
	 * The part of the accepted connections that is used. The rest covers routers that are
	 * not known yet, and requests that were not reported.
	 */
	private static final double USED = 0.85;

	/**
	 * Returns the share of a router.
	 * @param accepted the connections that the upstream accepts from all routers
	 * @param routers the number of routers
	 * @param usedByOthers the connections on which the other routers await an answer, as
	 * far as is known
	 * @return the share, which is one connection at least
	 */
	public static ConnectionShare of(int accepted, int routers, int usedByOthers) {
		int even = (int) (accepted * USED / routers);
		int kept = (even > 1) ? even / 2 : even;
		int free = (int) (accepted * USED) - (routers - 1) * kept - usedByOthers;
		return new ConnectionShare(Math.max(Math.max(even, free), 1), Math.max(kept, 1));
	}

}
