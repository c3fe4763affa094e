package org.ebonyford.retry;

import java.util.HashMap;
import java.util.Map;

/**
 * Bounds how often requests are sent more than once, for each service and within a
 * sliding window. The ratio's part follows from this router's own requests and needs no
 * agreement; the fixed part is divided by the number of routers that may be alive. Under
 * load this keeps failures of upstreams from multiplying the requests for the others.
 *
 * <p>
 * A process that starts does not know what the one before it has sent, which may be all
 * that the router was allowed. So nothing is repeated until a window has passed.
 */
public final class RetryBudget {

	/**
	 * The part of the limit that is used. The rest covers repeats that arrive in a later
	 * window than the one in which they were sent.
	 */
	private static final double USED_FRACTION = 0.85;

	/**
	 * The steps into which a window is divided.
	 */
	private static final long BUCKETS = 50;

	/**
	 * The repeats allowed for each request.
	 */
	private final double ratio;

	/**
	 * The further repeats that the fleet may send in a window.
	 */
	private final double extra;

	/**
	 * The length of a window in milliseconds.
	 */
	private final long windowMillis;

	/**
	 * From when on requests are repeated, in milliseconds.
	 */
	private final long enabledAt;

	/**
	 * What was sent, by service.
	 */
	private final Map<String, Counts> services = new HashMap<>();

	/**
	 * Creates a budget from which nothing is spent.
	 * @param ratio the repeats allowed for each request
	 * @param extra the further repeats that the whole fleet may send in a window
	 * @param windowMillis the length of a window in milliseconds
	 * @param startedAt when the process started, in milliseconds
	 */
	public RetryBudget(double ratio, double extra, long windowMillis, long startedAt) {
		this.ratio = ratio;
		this.extra = extra;
		this.windowMillis = windowMillis;
		this.enabledAt = startedAt + windowMillis;
	}

	/**
	 * Notes a request of a caller.
	 * @param service the service
	 * @param now the time in milliseconds
	 */
	public void recordRequest(String service, long now) {
		counts(service).requests.add(1, now);
	}

	/**
	 * Takes a repeat from the budget if there is one.
	 * @param service the service
	 * @param routers the number of routers that may be alive
	 * @param now the time in milliseconds
	 * @return whether the request may be sent once more
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
	 * What was sent to a service.
	 */
	private static final class Counts {

		/**
		 * The requests of callers.
		 */
		private final SlidingWindowCounter requests;

		/**
		 * What was sent beyond the first time.
		 */
		private final SlidingWindowCounter retries;

		Counts(long windowMillis) {
			this.requests = new SlidingWindowCounter(windowMillis, windowMillis / BUCKETS);
			this.retries = new SlidingWindowCounter(windowMillis, windowMillis / BUCKETS);
		}

	}

}
