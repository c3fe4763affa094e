package org.ebonyford.placement;

import java.util.OptionalLong;

/**
 * What requests reveal of an upstream: whether it can be reached, whether it answers, and
 * how often it fails. It answers the load of crashes, of partitions without a reset, and
 * of upstreams that fail requests while their health check is good.
 */
public final class UpstreamHealth {

	/**
	 * The first span in milliseconds for which an unreachable upstream is left out.
	 */
	private static final long INITIAL_EXCLUSION_MILLIS = 300;

	/**
	 * The longest span in milliseconds for which an unreachable upstream is left out
	 * before it is tried again.
	 */
	private static final long MAX_EXCLUSION_MILLIS = 2_400;

	/**
	 * The silence in milliseconds after which an upstream with requests counts as hung:
	 * well over the longest pause between events of a sound engine.
	 */
	private static final long SILENCE_TIMEOUT_MILLIS = 1_200;

	/**
	 * The weight of an answer in the average of failures.
	 */
	private static final double FAILURE_WEIGHT = 0.08;

	/**
	 * The part of the failures that is forgotten in a second without answers.
	 */
	private static final double FAILURE_DECAY_PER_SECOND = 0.15;

	/**
	 * The least time in milliseconds between two decays: a finer step changes no
	 * decision.
	 */
	private static final long MIN_DECAY_INTERVAL_MILLIS = 50;

	/**
	 * The part of the requests that fail.
	 */
	private final MovingAverage failureRate = new MovingAverage(0, FAILURE_WEIGHT);

	/**
	 * Until when the upstream is left out, in milliseconds.
	 */
	private long excludedUntil = Long.MIN_VALUE;

	/**
	 * The span for which it is left out next, in milliseconds.
	 */
	private long nextExclusionMillis = INITIAL_EXCLUSION_MILLIS;

	/**
	 * When something last came from it, in milliseconds.
	 */
	private long lastReceivedAt = Long.MIN_VALUE;

	/**
	 * Since when requests have been open without pause, in milliseconds.
	 */
	private long busySince;

	/**
	 * Whether it is left out for its silence, until it is heard.
	 */
	private boolean silent;

	/**
	 * When the failures were last decayed, in milliseconds.
	 */
	private long decayedAt;

	/**
	 * What the upstream has said of whether it wants requests.
	 */
	private AvailabilityNotice notice = AvailabilityNotice.NONE;

	/**
	 * Notes that a request is sent while none is open.
	 * @param now the time in milliseconds
	 */
	public void recordBusy(long now) {
		this.busySince = now;
	}

	/**
	 * Notes that bytes arrived.
	 * @param now the time in milliseconds
	 */
	public void recordReceived(long now) {
		this.lastReceivedAt = now;
		this.silent = false;
		this.nextExclusionMillis = INITIAL_EXCLUSION_MILLIS;
	}

	/**
	 * Returns when something last came from the upstream.
	 * @return the time in milliseconds
	 */
	public long lastReceivedAt() {
		return this.lastReceivedAt;
	}

	/**
	 * Notes the end of a request.
	 * @param failed whether the upstream failed it
	 * @param now the time in milliseconds
	 */
	public void recordEnded(boolean failed, long now) {
		decay(now);
		this.failureRate.add(failed ? 1 : 0);
	}

	/**
	 * Notes that no connection could be made or that one broke before an answer.
	 * @param now the time in milliseconds
	 */
	public void recordUnreachable(long now) {
		this.excludedUntil = now + this.nextExclusionMillis;
		this.nextExclusionMillis = Math.min(this.nextExclusionMillis * 2, MAX_EXCLUSION_MILLIS);
	}

	/**
	 * Checks the silence of an upstream.
	 * @param open the number of open requests
	 * @param now the time in milliseconds
	 * @return whether it is found silent now and was not before
	 */
	public boolean checkSilence(int open, long now) {
		boolean found = open > 0 && !this.silent
				&& now - Math.max(this.lastReceivedAt, this.busySince) > SILENCE_TIMEOUT_MILLIS;
		this.silent = this.silent || found;
		return found;
	}

	/**
	 * Returns whether the upstream is silent.
	 * @return {@code true} until something comes from it
	 */
	public boolean silent() {
		return this.silent;
	}

	/**
	 * Notes what the upstream has said of whether it wants requests.
	 * @param latest the notice
	 */
	public void notice(AvailabilityNotice latest) {
		this.notice = latest;
	}

	/**
	 * Returns what the upstream has said of whether it wants requests.
	 * @return the notice
	 */
	public AvailabilityNotice notice() {
		return this.notice;
	}

	/**
	 * Returns whether requests may be sent.
	 * @param now the time in milliseconds
	 * @return {@code false} while the upstream is left out
	 */
	public boolean usable(long now) {
		return !this.silent && now >= this.excludedUntil && this.notice.accepts(now);
	}

	/**
	 * Returns when requests may be sent, as far as is known.
	 * @return the time in milliseconds, in the past if they may be sent now; empty if
	 * that is not known or never
	 */
	public OptionalLong usableAt() {
		return (this.silent || this.notice.leaving()) ? OptionalLong.empty()
				: OptionalLong.of(Math.max(this.excludedUntil, this.notice.waitUntil()));
	}

	/**
	 * Returns the part of the requests that fail.
	 * @param now the time in milliseconds
	 * @return the part, from 0 to 1
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
