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
public final class Admission {

	/**
	 * The part of the latency target within which the first byte must be expected for an
	 * organisation that has used little of its share. An answer a little late is worth
	 * more to a starved organisation than none.
	 */
	private static final double BELOW_SHARE = 1.5;

	/**
	 * The part of the latency target for an organisation that has used just its share.
	 */
	private static final double AT_SHARE = 0.75;

	/**
	 * The part of the share up to which an organisation counts as starved.
	 */
	static final double STARVED = 0.5;

	/**
	 * The part of the longest pause of a stream from which reading a prompt counts as
	 * stalling the other streams of its engine: they advance only between its chunks.
	 */
	private static final double STALLING = 0.85;

	/**
	 * The wait in milliseconds behind other requests below which nothing is refused, as
	 * the upstream has room.
	 */
	private static final double NO_WAIT_MILLIS = 40;

	/**
	 * The part of an engine's slots up to which requests run on a calm engine. While
	 * nothing waits there either, nobody is refused for a share, unless others who have
	 * used less of theirs are: the platform promises that no organisation waits while
	 * engines have capacity, and whoever asks most often would take all of it.
	 */
	private static final double CALM_SLOTS = 0.5;

	/**
	 * The part of its time that any request may wait behind others. A prompt that takes
	 * the rest of its time to be read would otherwise be refused behind a single short
	 * one, so that long prompts starve.
	 */
	private static final double LONG_WAIT = 0.4;

	/**
	 * The least time in milliseconds after which a refused caller may come back: the
	 * routers have then exchanged their loads.
	 */
	private static final double LEAST_RETRY_MILLIS = 300;

	/**
	 * The longest time in milliseconds after which a refused caller may come back, which
	 * is about the window in which shares are counted.
	 */
	private static final double LONGEST_RETRY_MILLIS = 3_000;

	private Admission() {
	}

	/**
	 * Returns the part of its latency target that a request may be expected to take.
	 * @param usedShare the part of its fair share that the organisation has used
	 * @return the part of the target
	 */
	public static double part(double usedShare) {
		if (usedShare <= STARVED) {
			return BELOW_SHARE;
		}
		if (usedShare <= 1) {
			return BELOW_SHARE - (BELOW_SHARE - AT_SHARE) * (usedShare - STARVED) / (1 - STARVED);
		}
		return AT_SHARE;
	}

	/**
	 * Returns the time within which a request's first byte must be expected for it to be
	 * taken.
	 * @param targetMillis the latency target in milliseconds
	 * @param usedShare the part of its fair share that the organisation has used
	 * @param remainingMillis the time in milliseconds that the caller still waits
	 * @return the time in milliseconds
	 */
	public static double limitMillis(double targetMillis, double usedShare, double remainingMillis) {
		return Math.min(targetMillis * part(usedShare), remainingMillis);
	}

	/**
	 * Returns whether a request is taken.
	 * @param choice the upstream chosen for it
	 * @param terms the terms of the request
	 * @return {@code true} if it is sent to the upstream
	 */
	public static boolean takes(Choice choice, Terms terms) {
		boolean spare = terms.turn().admitted() && choice.running() < choice.upstream().entry().slots();
		if (terms.beyond() && !spare && (terms.leads() || !calm(choice))) {
			return false;
		}
		double wait = Math.max(NO_WAIT_MILLIS, terms.limitMillis() * LONG_WAIT);
		return choice.firstMillis() <= terms.limitMillis() || choice.aheadMillis() <= wait;
	}

	/**
	 * Returns whether reading a prompt makes the other streams of its engine late.
	 * @param choice the engine chosen for it
	 * @param terms the terms of the request
	 * @return {@code true} if their pauses grow beyond what is on time
	 */
	public static boolean stalls(Choice choice, Terms terms) {
		return terms.pauseMillis() > 0 && choice.readMillis() > terms.pauseMillis() * STALLING;
	}

	private static boolean calm(Choice choice) {
		return choice.running() < choice.upstream().entry().slots() * CALM_SLOTS
				&& choice.aheadMillis() <= NO_WAIT_MILLIS;
	}

	/**
	 * Returns the part of what engines run without strain that they do not run.
	 * @param engines the engines
	 * @param pace how fast they work
	 * @param now the time in milliseconds
	 * @return the part, from 0 to 1; 0 if there are no engines
	 */
	public static double idle(Collection<UpstreamState> engines, ServicePace pace, long now) {
		return engines.stream().mapToDouble((engine) -> idle(engine, pace, now)).average().orElse(0);
	}

	private static double idle(UpstreamState engine, ServicePace pace, long now) {
		Load load = engine.total(now);
		double running = load.running() / (engine.entry().slots() * CALM_SLOTS);
		double reading = pace.readMillis(load.reading()) / NO_WAIT_MILLIS;
		return Math.max(1 - Math.max(running, reading), 0);
	}

	/**
	 * Returns the time after which a refused request can be served, as far as is known.
	 * @param choice the upstream chosen for it
	 * @param terms the terms of the request
	 * @return the time in milliseconds
	 */
	public static double retryMillis(Choice choice, Terms terms) {
		double queue = choice.firstMillis() - terms.limitMillis();
		double covered = Math.min(1 / Math.max(terms.usedShare(), 1), terms.turn().admittedFraction());
		double share = terms.beyond() ? LONGEST_RETRY_MILLIS * (1 - covered) : 0;
		return Math.max(LEAST_RETRY_MILLIS, Math.min(Math.max(queue, share), LONGEST_RETRY_MILLIS));
	}

	/**
	 * Returns the time after which a request may come back that was not its
	 * organisation's turn: the less of its requests the share covers, the later.
	 * @param turn the turn
	 * @return the time in milliseconds
	 */
	public static double retryMillis(ShareDecision turn) {
		return Math.max(LEAST_RETRY_MILLIS, LONGEST_RETRY_MILLIS * (1 - turn.admittedFraction()));
	}

}
