package org.ebonyford.placement;

import java.util.OptionalLong;

/**
 * Passive health check of an upstream: tracks from its requests whether it can be
 * reached, whether it answers and how often it fails. It detects crashes, partitions
 * without a connection reset, and upstreams that fail requests while their active health
 * check passes.
 */
public final class UpstreamHealth {

	/**
	 * The time in milliseconds for which an unreachable upstream is excluded at first.
	 */
	private static final long INITIAL_EXCLUSION_MILLIS = 300;

	/**
	 * The maximum time in milliseconds for which an unreachable upstream is excluded
	 * before it is tried again.
	 */
	private static final long MAX_EXCLUSION_MILLIS = 2_400;

	/**
	 * The silence in milliseconds after which an upstream with requests counts as hung:
	 * well over the maximum pause between events of a healthy engine.
	 */
	private static final long SILENCE_TIMEOUT_MILLIS = 1_200;

	/**
	 * The weight of a request in the moving average of failures.
	 */
	private static final double FAILURE_WEIGHT = 0.08;

	/**
	 * The fraction by which the failure rate decays in a second.
	 */
	private static final double FAILURE_DECAY_PER_SECOND = 0.15;

	/**
	 * The minimum time in milliseconds between two decays: finer steps change no
	 * decision.
	 */
	private static final long MIN_DECAY_INTERVAL_MILLIS = 50;

	/**
	 * The fraction of the requests that fail.
	 */
	private final MovingAverage failureRate = new MovingAverage(0, FAILURE_WEIGHT);

	/**
	 * The time until which the upstream is excluded as unreachable, in milliseconds.
	 */
	private long excludedUntil = Long.MIN_VALUE;

	/**
	 * The duration of its next exclusion, in milliseconds.
	 */
	private long nextExclusionMillis = INITIAL_EXCLUSION_MILLIS;

	/**
	 * The time at which it last sent anything, in milliseconds.
	 */
	private long lastReceivedAt = Long.MIN_VALUE;

	/**
	 * The start of the current period with open requests, in milliseconds.
	 */
	private long busySince;

	/**
	 * Whether it is excluded as silent, until it sends something.
	 */
	private boolean silent;

	/**
	 * The time of the last decay of the failure rate, in milliseconds.
	 */
	private long decayedAt;

	/**
	 * The last availability notice of the upstream.
	 */
	private AvailabilityNotice notice = AvailabilityNotice.NONE;

	/**
	 * Records that a request is sent while none is open.
	 * @param now the time in milliseconds
	 */
	public void recordBusy(long now) {
		this.busySince = now;
	}

	/**
	 * Records that bytes arrived, which ends silence and resets the backoff.
	 * @param now the time in milliseconds
	 */
	public void recordReceived(long now) {
		this.lastReceivedAt = now;
		this.silent = false;
		this.nextExclusionMillis = INITIAL_EXCLUSION_MILLIS;
	}

	/**
	 * Returns when the upstream last sent anything.
	 * @return the time in milliseconds
	 */
	public long lastReceivedAt() {
		return this.lastReceivedAt;
	}

	/**
	 * Records the end of a request.
	 * @param failed whether the upstream failed it
	 * @param now the time in milliseconds
	 */
	public void recordEnded(boolean failed, long now) {
		decay(now);
		this.failureRate.add(failed ? 1 : 0);
	}

	/**
	 * Records that no connection could be made or that one broke before an answer, and
	 * excludes the upstream with exponential backoff.
	 * @param now the time in milliseconds
	 */
	public void recordUnreachable(long now) {
		this.excludedUntil = now + this.nextExclusionMillis;
		this.nextExclusionMillis = Math.min(this.nextExclusionMillis * 2, MAX_EXCLUSION_MILLIS);
	}

	/**
	 * Checks whether the upstream has become silent.
	 * @param open the number of open requests
	 * @param now the time in milliseconds
	 * @return whether it is silent now and was not before
	 */
	public boolean checkSilence(int open, long now) {
		boolean found = open > 0 && !this.silent
				&& now - Math.max(this.lastReceivedAt, this.busySince) > SILENCE_TIMEOUT_MILLIS;
		this.silent = this.silent || found;
		return found;
	}

	/**
	 * Returns whether the upstream is silent.
	 * @return {@code true} until it sends something
	 */
	public boolean silent() {
		return this.silent;
	}

	/**
	 * Records an availability notice of the upstream.
	 * @param latest the notice, which replaces the last one
	 */
	public void notice(AvailabilityNotice latest) {
		this.notice = latest;
	}

	/**
	 * Returns the availability notice of the upstream.
	 * @return the notice
	 */
	public AvailabilityNotice notice() {
		return this.notice;
	}

	/**
	 * Returns whether requests may be sent.
	 * @param now the time in milliseconds
	 * @return {@code false} while the upstream is excluded
	 */
	public boolean usable(long now) {
		return !this.silent && now >= this.excludedUntil && this.notice.accepts(now);
	}

	/**
	 * Returns when requests may be sent again.
	 * @return the time in milliseconds, in the past if they may be sent now; empty if
	 * that is not known or never
	 */
	public OptionalLong usableAt() {
		return (this.silent || this.notice.leaving()) ? OptionalLong.empty()
				: OptionalLong.of(Math.max(this.excludedUntil, this.notice.waitUntil()));
	}

	/**
	 * Returns the fraction of the requests that fail.
	 * @param now the time in milliseconds
	 * @return the fraction, from 0 to 1
	 */
	public double failureRate(long now) {
		decay(now);
		return this.failureRate.value();
	}

	private void decay(long now) {
		if (now - this.decayedAt < MIN_DECAY_INTERVAL_MILLIS) {
			return;
		}
		double fraction = 1 - Math.pow(1 - FAILURE_DECAY_PER_SECOND, (now - this.decayedAt) / 1_000.0);
		this.failureRate.decay(0, Math.min(fraction, 1));
		this.decayedAt = now;
	}

}
