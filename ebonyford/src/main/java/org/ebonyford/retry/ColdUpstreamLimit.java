package org.ebonyford.retry;

import java.util.Collection;

import org.ebonyford.directory.Rendezvous;

/**
 * Divides the requests a second that a cold upstream bears among the routers. Where the
 * share of each would be less than a few, only some routers use the upstream while it is
 * cold; all routers choose the same ones from the upstream's name and the routers' names.
 */
public final class ColdUpstreamLimit {

	/**
	 * The part of the limit that is divided. The rest covers requests of one second that
	 * arrive in the next.
	 */
	private static final double DIVIDED_FRACTION = 0.7;

	/**
	 * The least share with which a router may use a cold upstream: below it, waiting for
	 * the next second costs more than leaving the upstream to others.
	 */
	private static final int MIN_SHARE = 3;

	private ColdUpstreamLimit() {
	}

	/**
	 * Returns how many requests a router may send to a cold upstream in any second.
	 * @param upstream the identifier of the upstream
	 * @param limitPerSecond the requests a second that the upstream bears from all
	 * routers
	 * @param self the name of this router
	 * @param routers the names of the routers that may be alive, this one included
	 * @return the number of requests, 0 if this router leaves the upstream to others
	 */
	public static int requestsPerSecond(String upstream, double limitPerSecond, String self,
			Collection<String> routers) {
		int divided = (int) Math.floor(limitPerSecond * DIVIDED_FRACTION);
		int share = divided / Math.max(routers.size(), 1);
		if (share >= MIN_SHARE) {
			return share;
		}
		int users = Math.max(divided / MIN_SHARE, 1);
		boolean chosen = Rendezvous.order(upstream, routers).stream().limit(users).anyMatch(self::equals);
		return chosen ? Math.min(divided, MIN_SHARE) : 0;
	}

}
