package org.ebonyford.lifecycle;

import java.util.HashMap;
import java.util.Map;

import org.ebonyford.retry.SlidingWindowCounter;
import org.ebonyford.share.MaxMinLevel;
import org.ebonyford.share.ShareDecision;

/**
 * Limits how many requests a lagging router admits, and divides them among organisations
 * by max-min fairness. It is needed when all callers of an organisation come to the same
 * small VM. The limit follows the event loop lag, so that the router neither admits
 * everything until it lags nor rejects everything until it has recovered.
 */
public final class AdaptiveRequestLimiter {

	/**
	 * The length in milliseconds of the window in which requests are counted.
	 */
	private static final long WINDOW_MILLIS = 1_000;

	/**
	 * The precision in milliseconds with which requests leave that window.
	 */
	private static final long BUCKET_MILLIS = 100;

	/**
	 * The target lag in milliseconds: half of the shortest latency targets, and half of
	 * the lag above which nothing is admitted.
	 */
	private static final double TARGET_LAG_MILLIS = 200;

	/**
	 * The increase of the limit's logarithm per second without lag.
	 */
	private static final double INCREASE_PER_SECOND = 0.7;

	/**
	 * The decrease of the limit's logarithm per second at twice the target lag.
	 */
	private static final double DECREASE_PER_SECOND = 1.5;

	/**
	 * The maximum ratio of lag to target lag that is used.
	 */
	private static final double MAX_LAG_RATIO = 3;

	/**
	 * The fraction of the peak rate below which the limit does not fall at the target
	 * lag: rejections cost the process time, too, and rejected callers come back.
	 */
	private static final double MIN_RATE_FRACTION = 0.5;

	/**
	 * The minimum limit in requests per second: any VM handles as many besides those that
	 * it rejects.
	 */
	private static final double MIN_PER_SECOND = 10;

	/**
	 * The maximum number of requests admitted in a second, as a multiple of the peak
	 * rate, while the router lags and the demand is not fully counted yet.
	 */
	private static final double MAX_BURST_FACTOR = 1.5;

	/**
	 * The minimum fraction of admitted requests that is reported for an organisation.
	 */
	private static final double MIN_FRACTION = 0.001;

	/**
	 * The factor by which the peak rate decays per second, so that a VM that has become
	 * slower gets a lower limit.
	 */
	private static final double PEAK_DECAY_PER_SECOND = 0.95;

	/**
	 * The maximum time between two updates that is used, in milliseconds.
	 */
	private static final long MAX_UPDATE_INTERVAL_MILLIS = 500;

	/**
	 * The requests and the credit of each organisation at this router.
	 */
	private final Map<String, Counts> organisations = new HashMap<>();

	/**
	 * The admitted requests.
	 */
	private final SlidingWindowCounter admitted = new SlidingWindowCounter(WINDOW_MILLIS, BUCKET_MILLIS);

	/**
	 * The maximum rate of admitted requests per second, infinite while the router does
	 * not lag.
	 */
	private double limitPerSecond = Double.POSITIVE_INFINITY;

	/**
	 * The recent peak rate of admitted requests per second.
	 */
	private double peakPerSecond;

	/**
	 * The maximum rate of admitted requests per second of each organisation.
	 */
	private double level = Double.POSITIVE_INFINITY;

	/**
	 * The time of the last update in milliseconds, negative before the first.
	 */
	private long updatedAt = -1;

	/**
	 * Adjusts the limit to the lag. It is called some twenty times a second, and before
	 * each request while the router lags.
	 * @param lagMillis the event loop lag in milliseconds
	 * @param now the time in milliseconds
	 */
	public void update(long lagMillis, long now) {
		if (now == this.updatedAt) {
			return;
		}
		double seconds = (this.updatedAt < 0) ? 0
				: Math.min(now - this.updatedAt, MAX_UPDATE_INTERVAL_MILLIS) / 1_000.0;
		this.updatedAt = now;
		double rate = this.admitted.sum(now);
		this.peakPerSecond = Math.max(rate, this.peakPerSecond * Math.pow(PEAK_DECAY_PER_SECOND, seconds));
		double lagRatio = Math.min(lagMillis / TARGET_LAG_MILLIS, MAX_LAG_RATIO);
		if (lagRatio <= 1) {
			this.limitPerSecond *= Math.exp(INCREASE_PER_SECOND * seconds * (1 - lagRatio));
		}
		else {
			double minPerSecond = Math.max(this.peakPerSecond * MIN_RATE_FRACTION / lagRatio, MIN_PER_SECOND);
			this.limitPerSecond = Math.max(
					Math.min(this.limitPerSecond, rate) * Math.exp(DECREASE_PER_SECOND * seconds * (1 - lagRatio)),
					minPerSecond);
		}
		divide(now);
		if (lagRatio <= 1 && Double.isInfinite(this.level)) {
			this.limitPerSecond = Double.POSITIVE_INFINITY;
		}
	}

	private void divide(long now) {
		this.organisations.values().removeIf((counts) -> counts.requests.sum(now) == 0);
		double[] demands = this.organisations.values()
			.stream()
			.mapToDouble((counts) -> counts.requests.sum(now))
			.toArray();
		this.level = MaxMinLevel.of(demands, this.limitPerSecond);
	}

	/**
	 * Counts a request, and decides whether to admit it.
	 * @param organisation its organisation, empty if it has none
	 * @param now the time in milliseconds
	 * @return whether it is admitted, and which fraction of the organisation's requests
	 * is
	 */
	public ShareDecision admit(String organisation, long now) {
		Counts counts = this.organisations.computeIfAbsent(organisation, (key) -> new Counts());
		counts.requests.add(1, now);
		double limit = Math.min(this.level, this.limitPerSecond);
		if (Double.isInfinite(limit)) {
			counts.credit = 1;
			return ShareDecision.UNLIMITED;
		}
		double fraction = Math.max(MIN_FRACTION, Math.min(limit / counts.requests.sum(now), 1));
		counts.credit = Math.min(counts.credit + fraction, 1 + fraction);
		double knownPeak = Math.max(this.peakPerSecond, MIN_PER_SECOND);
		boolean burst = fraction < 1 && this.admitted.sum(now) >= knownPeak * MAX_BURST_FACTOR;
		return new ShareDecision(counts.credit >= 1 && !burst, fraction);
	}

	/**
	 * Records that a request was admitted.
	 * @param organisation its organisation
	 * @param now the time in milliseconds
	 */
	public void recordAdmitted(String organisation, long now) {
		this.admitted.add(1, now);
		this.organisations.computeIfAbsent(organisation, (key) -> new Counts()).credit -= 1;
	}

	/**
	 * The requests and the credit of an organisation.
	 */
	private static final class Counts {

		/**
		 * The organisation's requests.
		 */
		private final SlidingWindowCounter requests = new SlidingWindowCounter(WINDOW_MILLIS, BUCKET_MILLIS);

		/**
		 * The number of requests that may be admitted, as of the last request.
		 */
		private double credit;

	}

}
