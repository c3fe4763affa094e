package org.ebonyford.emulator.site;

import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;

import org.ebonyford.emulator.upstream.Answers;
import org.ebonyford.emulator.upstream.UpstreamSettings;

/**
 * What an operator runs: data centres, pools of upstreams, plans and organisations.
 *
 * @param name the name of the deployment
 * @param dataCentres the data centres
 * @param pools the pools of upstreams, which are spread over the data centres in turn
 * @param plans the plans
 * @param organisations the organisations
 * @param routers the number of routers, which are spread over the data centres in turn
 */
public record Deployment(String name, List<String> dataCentres, List<Pool> pools, List<Plan> plans,
		List<Organisation> organisations, int routers) {

	/**
	 * The number of organisations of a deployment of today's size.
	 */
	private static final int ORGANISATIONS = 16;

	/**
	 * Every how many organisations one is large.
	 */
	private static final int LARGE_EVERY = 5;

	/**
	 * Creates a deployment.
	 */
	public Deployment {
		dataCentres = List.copyOf(dataCentres);
		pools = List.copyOf(pools);
		plans = List.copyOf(plans);
		organisations = List.copyOf(organisations);
	}

	/**
	 * Returns the deployment of the Dalagul Pet Care Group.
	 * @return four data centres, 6 engines, 4 instances of booking-core and 7 routers
	 */
	public static Deployment dalagul() {
		List<String> dataCentres = List.of("kz-south-a", "kz-south-b", "kz-south-c", "kz-south-d");
		List<Pool> pools = List.of(Pool.engines("llm", 6), Pool.services("booking-core", 4));
		return new Deployment("dalagul", dataCentres, pools, List.of(), List.of(), 7).withUsualCustomers();
	}

	/**
	 * Returns the deployment of the Suomen Lumiraportoijien Liitto.
	 * @return three data centres, 13 engines of kieli, 3 instances of raportti and 6
	 * routers
	 */
	public static Deployment lumitieto() {
		List<String> dataCentres = List.of("levi", "yllas", "ruka");
		List<Pool> pools = List.of(Pool.engines("kieli", 13), Pool.services("raportti", 3));
		return new Deployment("lumitieto", dataCentres, pools, List.of(), List.of(), 6).withUsualCustomers();
	}

	/**
	 * Returns a copy with other data centres.
	 * @param names the data centres
	 * @return the copy
	 */
	public Deployment withDataCentres(String... names) {
		return new Deployment(this.name, List.of(names), this.pools, this.plans, this.organisations, this.routers);
	}

	/**
	 * Returns a copy with another number of routers.
	 * @param number the routers
	 * @return the copy
	 */
	public Deployment withRouters(int number) {
		return new Deployment(this.name, this.dataCentres, this.pools, this.plans, this.organisations, number);
	}

	/**
	 * Returns a copy with other pools.
	 * @param changed the pools
	 * @return the copy
	 */
	public Deployment withPools(Pool... changed) {
		return new Deployment(this.name, this.dataCentres, List.of(changed), this.plans, this.organisations,
				this.routers);
	}

	/**
	 * Returns a copy with one pool more.
	 * @param pool the pool
	 * @return the copy
	 */
	public Deployment withPool(Pool pool) {
		List<Pool> more = new ArrayList<>(this.pools);
		more.add(pool);
		return withPools(more.toArray(Pool[]::new));
	}

	/**
	 * Returns a copy with other customers.
	 * @param changedPlans the plans
	 * @param changedOrganisations the organisations
	 * @return the copy
	 */
	public Deployment withCustomers(List<Plan> changedPlans, List<Organisation> changedOrganisations) {
		return new Deployment(this.name, this.dataCentres, this.pools, changedPlans, changedOrganisations,
				this.routers);
	}

	/**
	 * Returns the name of a router's VM.
	 * @param index the number of the router, from 0
	 * @return the name, which begins with the data centre
	 */
	public String vm(int index) {
		return dataCentre(index) + "-" + (1 + index / this.dataCentres.size());
	}

	/**
	 * Returns the data centre of a router or of an upstream of a pool.
	 * @param index the number of the router or upstream, from 0
	 * @return the data centre
	 */
	public String dataCentre(int index) {
		return this.dataCentres.get(index % this.dataCentres.size());
	}

	/**
	 * Returns the upstreams of all pools.
	 * @return the upstreams in the order of their pools
	 */
	public List<Upstream> upstreams() {
		return this.pools.stream()
			.flatMap((pool) -> IntStream.range(0, pool.size())
				.mapToObj((index) -> new Upstream(pool.name() + "-" + (index + 1), pool, dataCentre(index))))
			.toList();
	}

	private Deployment withUsualCustomers() {
		List<Plan> usualPlans = List.of(new Plan("large", 4, 2000), new Plan("small", 1, 2000));
		List<Organisation> usualOrganisations = IntStream.range(0, ORGANISATIONS)
			.mapToObj((index) -> new Organisation(String.format("%s-%02d", this.name, index + 1),
					(index % LARGE_EVERY == 0) ? "large" : "small"))
			.toList();
		return withCustomers(usualPlans, usualOrganisations);
	}

	/**
	 * A pool of upstreams.
	 *
	 * @param name the name of the pool
	 * @param engine whether its upstreams are model engines
	 * @param size the number of upstreams
	 * @param settings how each upstream behaves, under the name of the pool
	 */
	public record Pool(String name, boolean engine, int size, UpstreamSettings settings) {

		/**
		 * Creates a pool of model engines.
		 * @param name the name of the pool
		 * @param size the number of engines
		 * @return the pool
		 */
		public static Pool engines(String name, int size) {
			return new Pool(name, true, size, UpstreamSettings.engine(name));
		}

		/**
		 * Creates a pool of plain services.
		 * @param name the name of the pool
		 * @param size the number of instances
		 * @return the pool
		 */
		public static Pool services(String name, int size) {
			return new Pool(name, false, size, UpstreamSettings.service(name));
		}

		/**
		 * Returns a copy whose upstreams behave otherwise.
		 * @param change changes the settings of an upstream
		 * @return the copy
		 */
		public Pool with(UnaryOperator<UpstreamSettings> change) {
			return new Pool(this.name, this.engine, this.size, change.apply(this.settings));
		}

	}

	/**
	 * A plan.
	 *
	 * @param name the name of the plan
	 * @param weight the weight of each of its organisations
	 * @param maxQueued the requests of an organisation that may wait at a router
	 */
	public record Plan(String name, int weight, int maxQueued) {

	}

	/**
	 * An organisation.
	 *
	 * @param name the name of the organisation
	 * @param plan the name of its plan
	 */
	public record Organisation(String name, String plan) {

		/**
		 * Returns the key that the organisation authenticates with.
		 * @return the key
		 */
		public String key() {
			return "key-of-" + this.name;
		}

		/**
		 * Returns the digest of the key.
		 * @return the digest in hexadecimal digits
		 */
		public String keyDigest() {
			return Answers.digest(key());
		}

	}

	/**
	 * An upstream.
	 *
	 * @param name the name of the upstream
	 * @param pool the pool of the upstream
	 * @param dataCentre the data centre that it stands in
	 */
	public record Upstream(String name, Pool pool, String dataCentre) {

	}

}
