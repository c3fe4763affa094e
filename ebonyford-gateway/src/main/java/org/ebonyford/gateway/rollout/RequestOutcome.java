package org.ebonyford.gateway.rollout;

import org.ebonyford.rollout.RolloutOutcomes;

/**
 * What became of a request at an upstream.
 */
public sealed interface RequestOutcome {

	/**
	 * Returns the name of the outcome in metrics.
	 * @return the name
	 */
	String name();

	/**
	 * Counts the outcome.
	 * @param outcomes the outcomes of the roll-out
	 * @param place where it was seen
	 */
	void count(RolloutOutcomes outcomes, Place place);

	/**
	 * The upstream answered.
	 *
	 * @param elapsedMillis the time to the first event of a stream, or to a complete
	 * answer, in milliseconds
	 * @param expectedMillis the time that the request is expected to take by its size
	 */
	record Answered(double elapsedMillis, double expectedMillis) implements RequestOutcome {

		@Override
		public String name() {
			return "answered";
		}

		@Override
		public void count(RolloutOutcomes outcomes, Place place) {
			outcomes.answered(place.route(), place.target(), place.upstream(), this.elapsedMillis, this.expectedMillis,
					place.nowMillis());
		}

	}

	/**
	 * The upstream answered with a failure or with an answer that is not to be trusted.
	 */
	record Failed() implements RequestOutcome {

		@Override
		public String name() {
			return "failed";
		}

		@Override
		public void count(RolloutOutcomes outcomes, Place place) {
			outcomes.failed(place.route(), place.target(), place.upstream(), place.nowMillis());
		}

	}

	/**
	 * The upstream closed the connection or made no progress. It may have crashed or be
	 * cut off, which says nothing about its version, so this counts only if it goes on.
	 */
	record Broken() implements RequestOutcome {

		@Override
		public String name() {
			return "broken";
		}

		@Override
		public void count(RolloutOutcomes outcomes, Place place) {
			outcomes.broken(place.route(), place.target(), place.upstream(), place.nowMillis());
		}

	}

	/**
	 * Where an outcome was seen.
	 *
	 * @param route the hash of the route's name
	 * @param target whether the upstream is of the target version
	 * @param upstream identifies a start of the upstream
	 * @param nowMillis the time in milliseconds
	 */
	record Place(int route, boolean target, String upstream, long nowMillis) {
	}

}
