package org.ebonyford.rollout;

import java.util.HashMap;
import java.util.Map;

/**
 * The outcomes of requests during a roll-out, by route, at the target and at the other
 * versions. Counts are cumulative since a gateway first saw the order and can be merged.
 *
 * @param routes the outcomes by the hash of the route's name
 */
public record RolloutEvidence(Map<Integer, Outcomes> routes) {

	/**
	 * No outcomes.
	 */
	public static final RolloutEvidence NONE = new RolloutEvidence(Map.of());

	/**
	 * Creates evidence.
	 */
	public RolloutEvidence {
		routes = Map.copyOf(routes);
	}

	/**
	 * Adds the outcomes that another gateway saw.
	 * @param other the outcomes
	 * @return the sums
	 */
	public RolloutEvidence plus(RolloutEvidence other) {
		Map<Integer, Outcomes> sums = new HashMap<>(this.routes);
		other.routes.forEach((route, outcomes) -> sums.merge(route, outcomes, Outcomes::plus));
		return new RolloutEvidence(sums);
	}

	/**
	 * Returns the outcomes of all routes together.
	 * @return the sums
	 */
	public Outcomes total() {
		return this.routes.values().stream().reduce(Outcomes.NONE, Outcomes::plus);
	}

	/**
	 * The outcomes of a route's requests.
	 *
	 * @param target the outcomes at the target
	 * @param others the outcomes at the other versions in the same time
	 */
	public record Outcomes(Counts target, Counts others) {

		/**
		 * No outcomes.
		 */
		public static final Outcomes NONE = new Outcomes(Counts.NONE, Counts.NONE);

		/**
		 * Adds outcomes.
		 * @param other the other outcomes
		 * @return the sums
		 */
		public Outcomes plus(Outcomes other) {
			return new Outcomes(this.target.plus(other.target), this.others.plus(other.others));
		}

	}

	/**
	 * Counts of answers of one side.
	 *
	 * @param answers the requests that ended in an answer or a failure of the upstream
	 * @param failures those that failed
	 * @param slow those that were answered several times slower than the other versions
	 * answered at the same time
	 */
	public record Counts(long answers, long failures, long slow) {

		/**
		 * No answers.
		 */
		public static final Counts NONE = new Counts(0, 0, 0);

		/**
		 * Adds counts.
		 * @param other the other counts
		 * @return the sums
		 */
		public Counts plus(Counts other) {
			return new Counts(this.answers + other.answers, this.failures + other.failures, this.slow + other.slow);
		}

		/**
		 * Returns the answers that count against a version.
		 * @return the failed and the slow ones
		 */
		public long bad() {
			return this.failures + this.slow;
		}

	}

}
