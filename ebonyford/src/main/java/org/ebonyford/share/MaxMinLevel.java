package org.ebonyford.share;

import java.util.Arrays;

/**
 * Computes the level of a max-min fair division: a demand below the level is met in full,
 * and every other one gets the level.
 */
public final class MaxMinLevel {

	private MaxMinLevel() {
	}

	/**
	 * Computes the level.
	 * @param demands the demands
	 * @param capacity the capacity to divide
	 * @return the level, infinite if the capacity meets all demands
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
