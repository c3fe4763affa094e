package org.ebonyford.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

import org.ebonyford.rollout.RolloutEvidence.Counts;
import org.ebonyford.rollout.RolloutEvidence.Outcomes;

/**
 * Counts the outcomes of a gateway's requests during a roll-out. An exchange that breaks
 * counts as a failure only if its upstream goes on: an upstream that crashes, or that is
 * cut off, says nothing about its version, as prompts and links do that at any version.
 * The load is one call for each answer of the service, and one call for each evidence
 * that is reported (five a second).
 */
public final class RolloutOutcomes {

	/**
	 * The time in milliseconds within which an upstream has to show that it goes on for a
	 * broken exchange to count. It leaves two seconds of the rollback time for the
	 * verdict.
	 */
	private static final long BROKEN_MILLIS = 3_000L;

	/**
	 * The maximum number of broken exchanges that are kept. An upstream that crashes
	 * breaks at most as many as it has slots.
	 */
	private static final int MAX_BROKEN = 256;

	/**
	 * The slow answers.
	 */
	private final SlowAnswers slowAnswers = new SlowAnswers();

	/**
	 * The outcomes by the hash of the route's name.
	 */
	private final Map<Integer, Outcomes> routes = new HashMap<>();

	/**
	 * The exchanges that broke and are not counted yet.
	 */
	private final List<Broken> brokenExchanges = new ArrayList<>();

	/**
	 * Counts an answer that is not a failure.
	 * @param route the hash of the route's name
	 * @param target whether the target answered
	 * @param upstream identifies a start of the upstream
	 * @param elapsedMillis the time to the first byte of the answer
	 * @param expectedMillis the time that the request is expected to take by its size, 1
	 * if this is unknown, 0 if the answer is not comparable, as the upstream is cold
	 * @param nowMillis the current time
	 */
	public void answered(int route, boolean target, String upstream, double elapsedMillis, double expectedMillis,
			long nowMillis) {
		boolean slow = this.slowAnswers.slow(route, target, elapsedMillis, expectedMillis, nowMillis);
		count(route, target, new Counts(1, 0, slow ? 1 : 0));
		goesOn(upstream, nowMillis);
	}

	/**
	 * Counts an answer that says that the upstream failed, or none within the time-out.
	 * Refusals that guarantee that a request has not run are no failures and are not
	 * counted.
	 * @param route the hash of the route's name
	 * @param target whether the target answered
	 * @param upstream identifies a start of the upstream
	 * @param nowMillis the current time
	 */
	public void failed(int route, boolean target, String upstream, long nowMillis) {
		count(route, target, new Counts(1, 1, 0));
		goesOn(upstream, nowMillis);
	}

	/**
	 * Notes an exchange whose connection the upstream closed or reset. A connection that
	 * could not be opened is not noted, nor one that the caller closed.
	 * @param route the hash of the route's name
	 * @param target whether the upstream is of the target version
	 * @param upstream identifies a start of the upstream
	 * @param nowMillis the current time
	 */
	public void broken(int route, boolean target, String upstream, long nowMillis) {
		dropOld(nowMillis);
		if (this.brokenExchanges.size() < MAX_BROKEN) {
			this.brokenExchanges.add(new Broken(route, target, upstream, nowMillis));
		}
	}

	/**
	 * Notes that a start of an upstream still works: bytes of an answer or a health check
	 * arrived from it. Exchanges that broke there before are failures.
	 * @param upstream identifies the start of the upstream
	 * @param nowMillis the current time
	 */
	public void goesOn(String upstream, long nowMillis) {
		if (this.brokenExchanges.isEmpty()) {
			return;
		}
		dropOld(nowMillis);
		Iterator<Broken> remaining = this.brokenExchanges.iterator();
		while (remaining.hasNext()) {
			Broken broken = remaining.next();
			if (broken.upstream().equals(upstream) && broken.atMillis() < nowMillis) {
				count(broken.route(), broken.target(), new Counts(1, 1, 0));
				remaining.remove();
			}
		}
	}

	/**
	 * Returns the outcomes so far.
	 * @return the cumulative outcomes
	 */
	public RolloutEvidence evidence() {
		return new RolloutEvidence(this.routes);
	}

	private void dropOld(long nowMillis) {
		this.brokenExchanges.removeIf((broken) -> nowMillis - broken.atMillis() > BROKEN_MILLIS);
	}

	private void count(int route, boolean target, Counts counts) {
		Outcomes outcomes = target ? new Outcomes(counts, Counts.NONE) : new Outcomes(Counts.NONE, counts);
		this.routes.merge(route, outcomes, Outcomes::plus);
	}

	/**
	 * An exchange that broke.
	 *
	 * @param route the hash of the route's name
	 * @param target whether the upstream is of the target version
	 * @param upstream identifies a start of the upstream
	 * @param atMillis when it broke
	 */
	private record Broken(int route, boolean target, String upstream, long atMillis) {
	}

}
