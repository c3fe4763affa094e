package org.ebonyford.configuration;

import org.ebonyford.identity.PlanId;

/**
 * A plan that organisations subscribe to.
 *
 * @param id the name of the plan
 * @param weight the share of an organisation relative to others, at least 1
 * @param maxQueued the requests that one organisation may have waiting at one router
 */
public record Plan(PlanId id, int weight, int maxQueued) {

	/**
	 * Creates a plan.
	 * @throws IllegalArgumentException if a number is less than 1
	 */
	public Plan {
		if (weight < 1 || maxQueued < 1) {
			throw new IllegalArgumentException("The weight and the queue length of a plan must be at least 1");
		}
	}

}
