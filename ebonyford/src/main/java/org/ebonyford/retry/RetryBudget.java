package org.ebonyford.retry;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits the retries for each service within a sliding window, so that upstream failures
 * under load do not multiply the requests to other upstreams. The proportional part
 * follows from this router's own requests and needs no coordination; the fixed part is
 * divided by the number of routers that may be alive.
 *
 * <p>
 * A new process does not know how many retries its predecessor has sent, which may be the
 * router's whole budget. So it retries nothing until one window has passed.
 */
public final class RetryBudget {

	/**
	 * The fraction of the limit that is used. The rest covers retries that arrive in a
	 * later window than the one in which they were sent.
	 */
	private static final double USED_FRACTION = 0.85;

	/**
	 * The number of buckets in a window.
	 */
	private static final long BUCKETS = 50;

	/**
	 * The retries allowed per request.
	 */
	private final double ratio;

	/**
	 * The additional retries that the whole fleet may send per window.
	 */
	private final double extra;

	/**
	 * The length of the window in milliseconds.
	 */
	private final long windowMillis;

	/**
	 * The time in milliseconds from which retries are allowed.
	 */
	private final long enabledAt;

	/**
	 * The requests and retries by service.
	 */
	private final Map<String, Counts> services = new HashMap<>();

	/**
	 * Creates an unused budget.
	 * @param ratio the retries allowed per request
	 * @param extra the additional retries that the whole fleet may send per window
	 * @param windowMillis the length of the window in milliseconds
	 * @param startedAt the start of the process in milliseconds
	 */
	public RetryBudget(double ratio, double extra, long windowMillis, long startedAt) {
		this.ratio = ratio;
		this.extra = extra;
		this.windowMillis = windowMillis;
		this.enabledAt = startedAt + windowMillis;
	}

	/**
	 * Records a caller's request.
	 * @param service the service
	 * @param now the time in milliseconds
	 */
	public void recordRequest(String service, long now) {
		counts(service).requests.add(1, now);
	}

	/**
	 * Takes a retry from the budget if one is left.
	 * @param service the service
	 * @param routers the number of routers that may be alive
	 * @param now the time in milliseconds
	 * @return whether the request may be retried
	 */
	public boolean tryAcquire(String service, int routers, long now) {
		Counts counts = counts(service);
		double limit = USED_FRACTION * (this.ratio * counts.requests.sum(now) + this.extra / Math.max(routers, 1));
		if (now < this.enabledAt || counts.retries.sum(now) + 1 > limit) {
			return false;
		}
		counts.retries.add(1, now);
		return true;
	}

	private Counts counts(String service) {
		return this.services.computeIfAbsent(service, (name) -> new Counts(this.windowMillis));
	}

	/**
	 * The requests and retries of a service.
	 */
	private static final class Counts {

		/**
		 * The callers' requests.
		 */
		private final SlidingWindowCounter requests;

		/**
		 * The retries that were granted.
		 */
		private final SlidingWindowCounter retries;

		Counts(long windowMillis) {
			this.requests = new SlidingWindowCounter(windowMillis, windowMillis / BUCKETS);
			this.retries = new SlidingWindowCounter(windowMillis, windowMillis / BUCKETS);
		}

	}

}
