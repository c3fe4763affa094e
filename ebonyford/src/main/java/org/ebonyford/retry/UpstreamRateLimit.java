package org.ebonyford.retry;

import java.util.Collection;
import java.util.List;

import org.ebonyford.directory.Rendezvous;

/**
 * Bounds the requests of this router to an upstream that has announced how many requests
 * a second it takes from all routers together. The upstream names the limit in its
 * answers, and none once it has recovered, so a router that leaves the upstream to others
 * still tries it from time to time.
 */
public final class UpstreamRateLimit {

	/**
	 * The time in milliseconds over which requests are counted. Shares of a second would
	 * be too small where many routers share an upstream.
	 */
	private static final long WINDOW_MILLIS = 4_000;

	/**
	 * The precision of that time in milliseconds.
	 */
	private static final long PRECISION_MILLIS = 50;

	/**
	 * The number of milliseconds in a second.
	 */
	private static final double MILLIS_PER_SECOND = 1_000;

	/**
	 * The multiple of the limit that is divided. Routers seldom use up their shares at
	 * the same time.
	 */
	private static final double DIVIDED_FACTOR = 1.25;

	/**
	 * The fraction of the limit that routers without a share use for single requests.
	 */
	private static final double TRIAL_FRACTION = 0.1;

	/**
	 * Further requests per second for that, so that a low limit is tried again, too.
	 */
	private static final double MIN_TRIALS_PER_SECOND = 0.25;

	/**
	 * The identifier of the upstream.
	 */
	private final String upstream;

	/**
	 * The requests of this router, whether or not there is a limit.
	 */
	private final SlidingWindowCounter requests = new SlidingWindowCounter(WINDOW_MILLIS, PRECISION_MILLIS);

	/**
	 * The time of the last of them in milliseconds.
	 */
	private long lastRequestAt;

	/**
	 * The share that was computed last, with what it depends on.
	 */
	private Share share = new Share(0, List.of(), 0, 0);

	/**
	 * Creates a limit on the requests to an upstream.
	 * @param upstream the identifier of the upstream, by which routers choose who uses it
	 * @param now the time in milliseconds
	 */
	public UpstreamRateLimit(String upstream, long now) {
		this.upstream = upstream;
		this.lastRequestAt = now;
	}

	/**
	 * Records that a request is sent.
	 * @param now the time in milliseconds
	 */
	public void recordRequest(long now) {
		this.requests.add(1, now);
		this.lastRequestAt = now;
	}

	/**
	 * Returns whether another request keeps within this router's share of the limit.
	 * @param perSecond the requests per second that the upstream takes from all routers
	 * @param self the name of this router
	 * @param routers the names of the routers that may be alive, including this one; an
	 * immutable collection
	 * @param now the time in milliseconds
	 * @return {@code false} if the request has to go elsewhere
	 */
	public boolean permits(double perSecond, String self, Collection<String> routers, long now) {
		if (this.share.perSecond() != perSecond || this.share.routers() != routers) {
			int divided = (int) Math.floor(perSecond * DIVIDED_FACTOR * WINDOW_MILLIS / MILLIS_PER_SECOND);
			this.share = new Share(perSecond, routers, DividedAllowance.share(this.upstream, divided, self, routers),
					trialIntervalMillis(perSecond, self, routers.size()));
		}
		return (this.share.requests() > 0) ? this.requests.sum(now) < this.share.requests()
				: now - this.lastRequestAt >= this.share.trialIntervalMillis();
	}

	/**
	 * Returns after how long a router without a share tries the upstream. Routers learn
	 * of a limit at the same time, so their times are spread by their names.
	 * @param perSecond the limit in requests per second
	 * @param self the name of this router
	 * @param routers the number of routers
	 * @return the time since its last request in milliseconds
	 */
	private double trialIntervalMillis(double perSecond, String self, int routers) {
		double interval = MILLIS_PER_SECOND * routers / (perSecond * TRIAL_FRACTION + MIN_TRIALS_PER_SECOND);
		long weight = Rendezvous.weight(Rendezvous.hash(self), Rendezvous.hash(this.upstream));
		double spread = (weight >>> 1) / (double) Long.MAX_VALUE;
		return interval * (1 + spread);
	}

	/**
	 * This router's share of a limit.
	 *
	 * @param perSecond the limit in requests per second
	 * @param routers the names of the routers among which it is divided
	 * @param requests the requests of this router within the window, 0 if it leaves the
	 * upstream to others
	 * @param trialIntervalMillis after how long it then tries the upstream, in
	 * milliseconds
	 */
	private record Share(double perSecond, Collection<String> routers, int requests, double trialIntervalMillis) {
	}

}
