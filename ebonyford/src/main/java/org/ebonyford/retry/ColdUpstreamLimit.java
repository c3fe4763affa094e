package org.ebonyford.retry;

import java.util.Collection;

import org.ebonyford.directory.Rendezvous;

/**
 * Divides the request rate that a cold upstream can bear among the routers. Where each
 * share would be too small, only some routers use the upstream while it is cold; all
 * routers choose the same ones by rendezvous hashing of the upstream's identifier and the
 * routers' names.
 */
public final class ColdUpstreamLimit {

	/**
	 * The fraction of the limit that is divided. The rest covers requests of one second
	 * that arrive in the next.
	 */
	private static final double DIVIDED_FRACTION = 0.7;

	/**
	 * The minimum share, in requests per second, with which a router uses a cold
	 * upstream: with less, waiting for the next second costs more than leaving the
	 * upstream to other routers.
	 */
	private static final int MIN_SHARE = 3;

	private ColdUpstreamLimit() {
	}

	/**
	 * Returns how many requests per second this router may send to a cold upstream.
	 * @param upstream the identifier of the upstream
	 * @param limitPerSecond the requests per second that the upstream can bear from all
	 * routers
	 * @param self the name of this router
	 * @param routers the names of the routers that may be alive, including this one
	 * @return the requests per second, 0 if this router leaves the upstream to others
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
