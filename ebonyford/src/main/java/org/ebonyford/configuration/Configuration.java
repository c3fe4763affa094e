package org.ebonyford.configuration;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.ebonyford.identity.OrganisationId;
import org.ebonyford.identity.PlanId;
import org.ebonyford.identity.PoolId;
import org.ebonyford.identity.UpstreamId;

/**
 * A whole, checked configuration.
 *
 * @param plans the plans by name
 * @param organisations the organisations by name
 * @param pools the pools by name
 * @param upstreams the upstreams by name
 * @param uses what each plan may use
 */
public record Configuration(Map<PlanId, Plan> plans, Map<OrganisationId, Organisation> organisations,
		Map<PoolId, Pool> pools, Map<UpstreamId, Upstream> upstreams, List<Use> uses) {

	/**
	 * Creates a configuration.
	 */
	public Configuration {
		plans = Map.copyOf(plans);
		organisations = Map.copyOf(organisations);
		pools = Map.copyOf(pools);
		upstreams = Map.copyOf(upstreams);
		uses = List.copyOf(uses);
	}

	/**
	 * Returns what an organisation may use of a pool.
	 * @param organisation the organisation
	 * @param pool the pool
	 * @return the use, or empty if the organisation's plan may not use the pool
	 */
	public Optional<Use> use(OrganisationId organisation, PoolId pool) {
		return Optional.ofNullable(this.organisations.get(organisation))
			.flatMap((customer) -> this.uses.stream()
				.filter((use) -> use.plan().equals(customer.plan()) && use.pool().equals(pool))
				.findFirst());
	}

	/**
	 * Returns the weight of an organisation.
	 * @param organisation the organisation
	 * @return the weight of its plan, or 1 if the organisation is unknown
	 */
	public int weight(OrganisationId organisation) {
		return Optional.ofNullable(this.organisations.get(organisation))
			.map((customer) -> this.plans.get(customer.plan()))
			.map(Plan::weight)
			.orElse(1);
	}

}
