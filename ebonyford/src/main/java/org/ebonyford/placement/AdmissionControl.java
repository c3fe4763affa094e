package org.ebonyford.placement;

import java.util.Collection;

import org.ebonyford.share.ShareDecision;

/**
 * Decides whether a request is taken or refused at once, from the time at which its
 * answer would begin and from how much of its fair share its organisation has used. It
 * answers the load of more requests than the engines can serve: whoever is below its
 * share goes first, and what would be late anyway is refused while the caller can still
 * come back. The size of a request is no reason to refuse it: a long prompt goes where it
 * delays the fewest streams. What engines can do beyond all shares is given away only
 * while they have slots to spare, so that it delays nobody who is within a share.
 */
public final class AdmissionControl {

	/**
	 * The part of the latency target within which the first byte must be expected for an
	 * organisation that has used little of its share. An answer a little late is worth
	 * more to a starved organisation than none.
	 */
	private static final double BELOW_SHARE_TARGET_FACTOR = 1.5;

	/**
	 * The part of the latency target for an organisation that has used just its share.
	 */
	private static final double AT_SHARE_TARGET_FACTOR = 0.75;

	/**
	 * The part of the share up to which an organisation counts as starved.
	 */
	static final double STARVED_SHARE = 0.5;

	/**
	 * The part of the longest pause of a stream from which reading a prompt counts as
	 * stalling the other streams of its engine: they advance only between its chunks.
	 */
	private static final double STALL_FRACTION = 0.85;

	/**
	 * The wait in milliseconds behind other requests below which nothing is refused, as
	 * the upstream has room.
	 */
	private static final double NEGLIGIBLE_QUEUE_MILLIS = 40;

	/**
	 * The part of an engine's slots up to which requests run on a calm engine. While
	 * nothing waits there either, nobody is refused for a share, unless others who have
	 * used less of theirs are: the platform promises that no organisation waits while
	 * engines have capacity, and whoever asks most often would take all of it.
	 */
	private static final double LIGHT_LOAD_SLOT_FRACTION = 0.5;

	/**
	 * The part of its time that any request may wait behind others. A prompt that takes
	 * the rest of its time to be read would otherwise be refused behind a single short
	 * one, so that long prompts starve.
	 */
	private static final double QUEUE_TIME_FRACTION = 0.4;

	/**
	 * The least time in milliseconds after which a refused caller may come back: the
	 * routers have then exchanged their loads.
	 */
	private static final double MIN_RETRY_MILLIS = 300;

	/**
	 * The longest time in milliseconds after which a refused caller may come back, which
	 * is about the window in which shares are counted.
	 */
	private static final double MAX_RETRY_MILLIS = 3_000;

	private AdmissionControl() {
	}

	/**
	 * Returns the part of its latency target that a request may be expected to take.
	 * @param usedShare the part of its fair share that the organisation has used
	 * @return the part of the target
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
	 * Returns the time within which a request's first byte must be expected for it to be
	 * taken.
	 * @param targetMillis the latency target in milliseconds
	 * @param usedShare the part of its fair share that the organisation has used
	 * @param remainingMillis the time in milliseconds that the caller still waits
	 * @return the time in milliseconds
	 */
	public static double firstByteLimitMillis(double targetMillis, double usedShare, double remainingMillis) {
		return Math.min(targetMillis * targetFactor(usedShare), remainingMillis);
	}

	/**
	 * Returns whether a request is taken.
	 * @param choice the upstream chosen for it
	 * @param terms the terms of the request
	 * @return {@code true} if it is sent to the upstream
	 */
	public static boolean admits(Choice choice, PlacementTerms terms) {
		boolean spare = terms.turn().admitted() && choice.running() < choice.upstream().entry().slots();
		if (terms.beyondShare() && !spare && (terms.aheadOfOthers() || !lightlyLoaded(choice))) {
			return false;
		}
		double maxQueueMillis = Math.max(NEGLIGIBLE_QUEUE_MILLIS, terms.firstByteLimitMillis() * QUEUE_TIME_FRACTION);
		return choice.firstByteMillis() <= terms.firstByteLimitMillis() || choice.queueMillis() <= maxQueueMillis;
	}

	/**
	 * Returns whether reading a prompt makes the other streams of its engine late.
	 * @param choice the engine chosen for it
	 * @param terms the terms of the request
	 * @return {@code true} if their pauses grow beyond what is on time
	 */
	public static boolean stallsStreams(Choice choice, PlacementTerms terms) {
		return terms.maxPauseMillis() > 0 && choice.prefillMillis() > terms.maxPauseMillis() * STALL_FRACTION;
	}

	private static boolean lightlyLoaded(Choice choice) {
		return choice.running() < choice.upstream().entry().slots() * LIGHT_LOAD_SLOT_FRACTION
				&& choice.queueMillis() <= NEGLIGIBLE_QUEUE_MILLIS;
	}

	/**
	 * Returns the part of what engines run without strain that they do not run.
	 * @param engines the engines
	 * @param pace how fast they work
	 * @param now the time in milliseconds
	 * @return the part, from 0 to 1; 0 if there are no engines
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
	 * Returns the time after which a refused request can be served, as far as is known.
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
	 * Returns the time after which a request may come back that was not its
	 * organisation's turn: the less of its requests the share covers, the later.
	 * @param turn the turn
	 * @return the time in milliseconds
	 */
	public static double retryAfterMillis(ShareDecision turn) {
		return Math.max(MIN_RETRY_MILLIS, MAX_RETRY_MILLIS * (1 - turn.admittedFraction()));
	}

}
