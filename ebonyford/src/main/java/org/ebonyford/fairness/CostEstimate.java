package org.ebonyford.fairness;

/**
 * Turns the hints that come with requests into the costs to charge in advance.
 */
public interface CostEstimate {

	/**
	 * Returns the cost to charge for a request.
	 * @param hint the cost that came with the request
	 * @return the expected cost, at least 1
	 */
	long estimate(long hint);

	/**
	 * Takes in the true cost of a request that completed.
	 * @param hint the cost that came with the request
	 * @param cost the true cost
	 */
	void learn(long hint, long cost);

	/**
	 * Takes every hint as it is.
	 */
	enum OfHint implements CostEstimate {

		/**
		 * The singleton instance.
		 */
		INSTANCE;

		@Override
		public long estimate(long hint) {
			return hint;
		}

		@Override
		public void learn(long hint, long cost) {
		}

	}

	/**
	 * Corrects hints by a moving average of the ratio of true costs to hints.
	 */
	final class OfRatio implements CostEstimate {

		/**
		 * The share of the latest request in the average.
		 */
		private static final double SHARE = 0.125;

		/**
		 * The average of the ratio.
		 */
		private double ratio = 1;

		@Override
		public long estimate(long hint) {
			return Math.max(1, Math.round(hint * this.ratio));
		}

		@Override
		public void learn(long hint, long cost) {
			this.ratio += SHARE * ((double) cost / hint - this.ratio);
		}

	}

}
