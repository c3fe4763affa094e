package org.ebonyford.lifecycle;

import java.util.HashMap;
import java.util.Map;

import org.ebonyford.retry.SlidingWindowCounter;
import org.ebonyford.share.MaxMinLevel;
import org.ebonyford.share.ShareDecision;

/**
 * Decides how many requests a router takes that reads its callers late, and divides them
 * among the organisations that ask it. It answers the load of an organisation whose
 * callers all come to the same small VM: what the VM can handle is found from how late it
 * is, so that it neither takes everything until it is late nor refuses everything until
 * it is not.
 */
public final class AdaptiveRequestLimiter {

	/**
	 * The span in milliseconds over which requests are counted.
	 */
	private static final long WINDOW_MILLIS = 1_000;

	/**
	 * The precision in milliseconds of that span.
	 */
	private static final long BUCKET_MILLIS = 100;

	/**
	 * The time in milliseconds by which requests may be read late: half of the shortest
	 * latency targets, and half of the time after which nothing is taken.
	 */
	private static final double TARGET_LAG_MILLIS = 200;

	/**
	 * By how much the logarithm of the bound rises in a second without lateness.
	 */
	private static final double INCREASE_PER_SECOND = 0.7;

	/**
	 * By how much it falls in a second at twice the lateness that is allowed.
	 */
	private static final double DECREASE_PER_SECOND = 1.5;

	/**
	 * The greatest number of times the allowed lateness that counts.
	 */
	private static final double MAX_LAG_RATIO = 3;

	/**
	 * The part of the most that was taken in a second below which the bound does not fall
	 * at the allowed lateness: refusals cost the process, too, and those who are refused
	 * come back.
	 */
	private static final double MIN_RATE_FRACTION = 0.5;

	/**
	 * The requests a second that any VM handles beside those that it refuses.
	 */
	private static final double MIN_PER_SECOND = 10;

	/**
	 * How many times as many as were ever taken in a second are taken in the next while
	 * the router is late and demand has only begun to be counted.
	 */
	private static final double MAX_BURST_FACTOR = 1.5;

	/**
	 * The least part of its requests that an organisation is told to have taken.
	 */
	private static final double MIN_FRACTION = 0.001;

	/**
	 * The part of the greatest number of requests that is remembered for a second, so
	 * that a VM that has become slower is believed to be.
	 */
	private static final double PEAK_DECAY_PER_SECOND = 0.95;

	/**
	 * The longest time in milliseconds that counts between two readings.
	 */
	private static final long MAX_UPDATE_INTERVAL_MILLIS = 500;

	/**
	 * What each organisation asked for and got of this router.
	 */
	private final Map<String, Counts> organisations = new HashMap<>();

	/**
	 * The requests that were taken.
	 */
	private final SlidingWindowCounter recordAdmitted = new SlidingWindowCounter(WINDOW_MILLIS, BUCKET_MILLIS);

	/**
	 * The requests a second that are taken at most, infinite while the router is in time.
	 */
	private double limitPerSecond = Double.POSITIVE_INFINITY;

	/**
	 * The most requests that were lately taken in a second.
	 */
	private double peakPerSecond;

	/**
	 * The requests a second that are taken of each organisation at most.
	 */
	private double level = Double.POSITIVE_INFINITY;

	/**
	 * When the router was last read, in milliseconds, negative before that.
	 */
	private long updatedAt = -1;

	/**
	 * Notes how late the router is. It is called some twenty times a second, and before
	 * each request while the router is late.
	 * @param lagMillis how late it is, in milliseconds
	 * @param now the time in milliseconds
	 */
	public void update(long lagMillis, long now) {
		if (now == this.updatedAt) {
			return;
		}
		double seconds = (this.updatedAt < 0) ? 0
				: Math.min(now - this.updatedAt, MAX_UPDATE_INTERVAL_MILLIS) / 1_000.0;
		this.updatedAt = now;
		double rate = this.recordAdmitted.sum(now);
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
	 * Notes a request, and decides whether the router can handle it.
	 * @param organisation its organisation, empty if it has none
	 * @param now the time in milliseconds
	 * @return whether it is one of those that are taken, and which part of the
	 * organisation's requests is
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
		boolean burst = fraction < 1 && this.recordAdmitted.sum(now) >= knownPeak * MAX_BURST_FACTOR;
		return new ShareDecision(counts.credit >= 1 && !burst, fraction);
	}

	/**
	 * Notes that a request was taken.
	 * @param organisation its organisation
	 * @param now the time in milliseconds
	 */
	public void recordAdmitted(String organisation, long now) {
		this.recordAdmitted.add(1, now);
		this.organisations.computeIfAbsent(organisation, (key) -> new Counts()).credit -= 1;
	}

	/**
	 * What an organisation asked for and got.
	 */
	private static final class Counts {

		/**
		 * Its requests.
		 */
		private final SlidingWindowCounter requests = new SlidingWindowCounter(WINDOW_MILLIS, BUCKET_MILLIS);

		/**
		 * The requests that it may have taken.
		 */
		private double credit;

	}

}
