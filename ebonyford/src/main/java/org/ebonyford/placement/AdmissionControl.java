package org.ebonyford.placement;

import java.util.Collection;

import org.ebonyford.share.ShareDecision;

/**
 * Admits or rejects a request by its expected time to first byte and by how much of its
 * fair share its organisation has used. Under overload, organisations below their share
 * go first, and requests that would be late are rejected while the caller can still
 * retry. Requests are never rejected for their size: a long prompt goes where it delays
 * the fewest streams. Capacity beyond all shares is given out only while engines have
 * free slots, so that it delays nobody within a share.
 */
public final class AdmissionControl {

	/**
	 * The factor on the latency target that bounds the expected time to the first byte,
	 * for an organisation that has used little of its share. A slightly late answer is
	 * worth more to a starved organisation than none.
	 */
	private static final double BELOW_SHARE_TARGET_FACTOR = 1.5;

	/**
	 * The factor on the latency target for an organisation that has used its whole share.
	 */
	private static final double AT_SHARE_TARGET_FACTOR = 0.75;

	/**
	 * The fraction of its share up to which an organisation counts as starved.
	 */
	static final double STARVED_SHARE = 0.5;

	/**
	 * The fraction of the maximum pause of a stream above which the prefill of a prompt
	 * counts as stalling the other streams of its engine, which advance only between
	 * prefill chunks.
	 */
	private static final double STALL_FRACTION = 0.85;

	/**
	 * The fraction of the maximum pause of a stream that the prompts waiting at an engine
	 * may take to prefill. The tokens of an event and the prefill of prompts that other
	 * routers sent meanwhile take the rest.
	 */
	private static final double PREFILL_PAUSE_FRACTION = 0.35;

	/**
	 * The queueing time in milliseconds up to which the upstream counts as having room:
	 * no request is rejected for being late.
	 */
	private static final double NEGLIGIBLE_QUEUE_MILLIS = 40;

	/**
	 * The fraction of an engine's slots below which it is lightly loaded, if its queueing
	 * time is negligible too. A lightly loaded engine takes requests beyond a share,
	 * because the platform promises that no organisation waits while engines have
	 * capacity. This does not apply to an organisation that is ahead of others whose
	 * requests are rejected, since whoever asks most often would otherwise take all of
	 * that capacity.
	 */
	private static final double LIGHT_LOAD_SLOT_FRACTION = 0.5;

	/**
	 * The fraction of its first-byte limit that any request may spend in the queue.
	 * Without it, a prompt whose prefill takes the rest of the limit would be rejected
	 * because of a single short request ahead of it, and long prompts would starve.
	 */
	private static final double QUEUE_TIME_FRACTION = 0.4;

	/**
	 * The minimum time in milliseconds after which a rejected caller may retry: by then
	 * the routers have exchanged their loads.
	 */
	private static final double MIN_RETRY_MILLIS = 300;

	/**
	 * The maximum time in milliseconds after which a rejected caller may retry, about the
	 * window in which shares are counted.
	 */
	private static final double MAX_RETRY_MILLIS = 3_000;

	private AdmissionControl() {
	}

	/**
	 * Returns the factor on the latency target that bounds the expected time to the first
	 * byte.
	 * @param usedShare the fraction of its fair share that the organisation has used
	 * @return the factor
	 */
	public static double targetFactor(double usedShare) {
		if (usedShare <= STARVED_SHARE) {
			return BELOW_SHARE_TARGET_FACTOR;
		}
		if (usedShare <= 1) {
			return BELOW_SHARE_TARGET_FACTOR - (BELOW_SHARE_TARGET_FACTOR - AT_SHARE_TARGET_FACTOR)
					* (usedShare - STARVED_SHARE) / (1 - STARVED_SHARE);
		}
		return AT_SHARE_TARGET_FACTOR;
	}

	/**
	 * Returns the maximum expected time to the first byte for which a request is
	 * admitted.
	 * @param targetMillis the latency target in milliseconds
	 * @param usedShare the fraction of its fair share that the organisation has used
	 * @param remainingMillis the time in milliseconds until the caller's deadline
	 * @return the time in milliseconds
	 */
	public static double firstByteLimitMillis(double targetMillis, double usedShare, double remainingMillis) {
		return Math.min(targetMillis * targetFactor(usedShare), remainingMillis);
	}

	/**
	 * Returns whether a request is admitted.
	 * @param choice the upstream chosen for it
	 * @param terms the terms of the request
	 * @return {@code true} if it is sent to the upstream
	 */
	public static boolean admits(Choice choice, PlacementTerms terms) {
		if (exceedsPrefillLimit(choice, terms)) {
			return false;
		}
		boolean spare = terms.turn().admitted() && choice.running() < choice.upstream().entry().slots();
		if (terms.beyondShare() && !spare && (terms.aheadOfOthers() || !lightlyLoaded(choice))) {
			return false;
		}
		double maxQueueMillis = Math.max(NEGLIGIBLE_QUEUE_MILLIS, terms.firstByteLimitMillis() * QUEUE_TIME_FRACTION);
		return choice.firstByteMillis() <= terms.firstByteLimitMillis() || choice.queueMillis() <= maxQueueMillis;
	}

	/**
	 * Returns the limit on the prefill at an engine that has other prompts to prefill. It
	 * answers a sustained overload of callers who compete for the engines: without it,
	 * each engine always has a prompt to prefill, and each prefill chunk delays the next
	 * token of all its streams, so that most streams pause for too long although their
	 * first event is in time.
	 * @param maxPauseMillis the maximum pause between events with which a stream is on
	 * time, in milliseconds
	 * @return the time in milliseconds
	 */
	public static double prefillLimitMillis(double maxPauseMillis) {
		return maxPauseMillis * PREFILL_PAUSE_FRACTION;
	}

	/**
	 * Returns whether an engine has too much to prefill to take another prompt. An engine
	 * with a negligible queue takes any prompt, as long ones would starve otherwise.
	 * @param choice the engine chosen for the request
	 * @param terms the terms of the request
	 * @return {@code true} if the engine would prefill for too long without a break
	 */
	private static boolean exceedsPrefillLimit(Choice choice, PlacementTerms terms) {
		return terms.prefillLimitMillis() > 0 && choice.queueMillis() > NEGLIGIBLE_QUEUE_MILLIS
				&& choice.queueMillis() + choice.prefillMillis() > terms.prefillLimitMillis();
	}

	/**
	 * Returns whether the prefill of a prompt makes the other streams of its engine late.
	 * @param choice the engine chosen for it
	 * @param terms the terms of the request
	 * @return {@code true} if it takes up most of the maximum pause of a stream
	 */
	public static boolean stallsStreams(Choice choice, PlacementTerms terms) {
		return terms.maxPauseMillis() > 0 && choice.prefillMillis() > terms.maxPauseMillis() * STALL_FRACTION;
	}

	private static boolean lightlyLoaded(Choice choice) {
		return choice.running() < choice.upstream().entry().slots() * LIGHT_LOAD_SLOT_FRACTION
				&& choice.queueMillis() <= NEGLIGIBLE_QUEUE_MILLIS;
	}

	/**
	 * Returns how much more engines can run before they are no longer lightly loaded, as
	 * a mean fraction of that load.
	 * @param engines the engines
	 * @param pace the latency estimates of their service
	 * @param now the time in milliseconds
	 * @return the fraction, from 0 to 1; 0 if there are no engines
	 */
	public static double idleFraction(Collection<UpstreamState> engines, ServicePace pace, long now) {
		return engines.stream().mapToDouble((engine) -> idleFraction(engine, pace, now)).average().orElse(0);
	}

	private static double idleFraction(UpstreamState engine, ServicePace pace, long now) {
		Load load = engine.totalLoad(now);
		double running = load.running() / (engine.entry().slots() * LIGHT_LOAD_SLOT_FRACTION);
		double prefill = pace.prefillMillis(load.prefillTokens()) / NEGLIGIBLE_QUEUE_MILLIS;
		return Math.max(1 - Math.max(running, prefill), 0);
	}

	/**
	 * Returns the delay after which a rejected request should be retried: the estimated
	 * time until it can be served.
	 * @param choice the upstream chosen for it
	 * @param terms the terms of the request
	 * @return the time in milliseconds
	 */
	public static double retryAfterMillis(Choice choice, PlacementTerms terms) {
		double queueDelay = choice.firstByteMillis() - terms.firstByteLimitMillis();
		double covered = Math.min(1 / Math.max(terms.usedShare(), 1), terms.turn().admittedFraction());
		double shareDelay = terms.beyondShare() ? MAX_RETRY_MILLIS * (1 - covered) : 0;
		return Math.max(MIN_RETRY_MILLIS, Math.min(Math.max(queueDelay, shareDelay), MAX_RETRY_MILLIS));
	}

	/**
	 * Returns the delay after which a request that did not have its turn should be
	 * retried. The fewer of the organisation's requests its share covers, the longer the
	 * delay.
	 * @param turn the turn
	 * @return the time in milliseconds
	 */
	public static double retryAfterMillis(ShareDecision turn) {
		return Math.max(MIN_RETRY_MILLIS, MAX_RETRY_MILLIS * (1 - turn.admittedFraction()));
	}

}
