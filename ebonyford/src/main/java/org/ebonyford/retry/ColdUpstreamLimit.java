package org.ebonyford.retry;

import java.util.Collection;

/**
 * Divides the request rate that a cold upstream can bear among the routers. Where each
 * share would be too small, only some routers use the upstream while it is cold.
 */
public final class ColdUpstreamLimit {

	/**
	 * The fraction of the limit that is divided. The rest covers requests of one second
	 * that arrive in the next.
	 */
	private static final double DIVIDED_FRACTION = 0.7;

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
		return DividedAllowance.share(upstream, (int) Math.floor(limitPerSecond * DIVIDED_FRACTION), self, routers);
	}

}
