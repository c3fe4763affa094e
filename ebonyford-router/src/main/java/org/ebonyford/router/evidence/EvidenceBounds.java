package org.ebonyford.router.evidence;

import java.util.OptionalLong;

/**
 * The bounds that promises are checked against.
 *
 * @param starvationSeconds the seconds for which an organisation may wait without being
 * served
 * @param takeOutSeconds the seconds after which a data centre that is out of service gets
 * no new work
 * @param configurationMillis the milliseconds within which a control state is in force
 * everywhere
 * @param fairnessSeconds the seconds over which service is compared
 * @param fairnessGap the cost for each unit of weight by which the service of two
 * backlogged organisations may differ, or empty to measure only
 */
public record EvidenceBounds(int starvationSeconds, int takeOutSeconds, long configurationMillis, int fairnessSeconds,
		OptionalLong fairnessGap) {

	/**
	 * The bounds of an operator who sets none.
	 */
	public static final EvidenceBounds DEFAULT = new EvidenceBounds(10, 3, 16_000, 10, OptionalLong.empty());

	/**
	 * Creates bounds.
	 * @throws IllegalArgumentException if a bound is not positive
	 */
	public EvidenceBounds {
		if (Math.min(Math.min(starvationSeconds, takeOutSeconds), Math.min(configurationMillis, fairnessSeconds)) < 1) {
			throw new IllegalArgumentException("The bounds of promises must be positive");
		}
	}

}
