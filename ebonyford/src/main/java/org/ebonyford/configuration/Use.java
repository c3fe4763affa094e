package org.ebonyford.configuration;

import java.util.Set;

import org.ebonyford.identity.PlanId;
import org.ebonyford.identity.PoolId;
import org.ebonyford.identity.RequestClass;

/**
 * What a plan may use of a pool.
 *
 * @param plan the plan
 * @param pool the pool that the plan may use
 * @param classes the request classes that the plan may use there, of which at least one
 */
public record Use(PlanId plan, PoolId pool, Set<RequestClass> classes) {

	/**
	 * Creates a use.
	 */
	public Use {
		classes = Set.copyOf(classes);
	}

}
