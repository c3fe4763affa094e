package org.ebonyford.share;

import java.util.Arrays;

/**
 * Computes the level of a max-min fair division: whoever asks less than the level gets
 * all of it, and everyone else gets the level.
 */
public final class MaxMinLevel {

	private MaxMinLevel() {
	}

	/**
	 * Computes the level.
	 * @param demands what each asks
	 * @param capacity what there is to divide
	 * @return the level, infinite if there is enough for everyone
	 */
	public static double of(double[] demands, double capacity) {
		double[] sorted = demands.clone();
		Arrays.sort(sorted);
		double rest = capacity;
		for (int index = 0; index < sorted.length; index++) {
			double level = rest / (sorted.length - index);
			if (sorted[index] >= level) {
				return level;
			}
			rest -= sorted[index];
		}
		return Double.POSITIVE_INFINITY;
	}

}
