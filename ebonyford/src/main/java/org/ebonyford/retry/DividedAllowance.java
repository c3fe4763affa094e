package org.ebonyford.retry;

import java.util.Collection;

import org.ebonyford.directory.Rendezvous;

/**
 * Divides a number of requests that an upstream takes from all routers together. Where
 * each share would be too small, only some routers use the upstream; all routers choose
 * the same ones by rendezvous hashing of the upstream's identifier and the routers'
 * names.
 */
final class DividedAllowance {

	/**
	 * The minimum share in requests with which a router uses the upstream: with less,
	 * waiting for the next one costs more than leaving the upstream to other routers.
	 */
	private static final int MIN_SHARE = 3;

	private DividedAllowance() {
	}

	/**
	 * Returns the share of a router.
	 * @param upstream the identifier of the upstream
	 * @param requests the requests that are divided
	 * @param self the name of the router
	 * @param routers the names of the routers that may be alive, including this one
	 * @return the requests, 0 if the router leaves the upstream to others
	 */
	static int share(String upstream, int requests, String self, Collection<String> routers) {
		int share = requests / Math.max(routers.size(), 1);
		if (share >= MIN_SHARE) {
			return share;
		}
		int users = Math.max(requests / MIN_SHARE, 1);
		boolean chosen = Rendezvous.order(upstream, routers).stream().limit(users).anyMatch(self::equals);
		return chosen ? Math.min(requests, MIN_SHARE) : 0;
	}

}
