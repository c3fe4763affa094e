package org.ebonyford.gateway.exchange;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import org.ebonyford.catalog.EngineProfile;
import org.ebonyford.catalog.ServiceDefinition;
import org.ebonyford.placement.CapacityProbe;
import org.ebonyford.placement.CapacityProbes;
import org.ebonyford.placement.Placement;
import org.ebonyford.placement.ServicePace;
import org.ebonyford.placement.UpstreamState;
import org.ebonyford.share.ShareDecision;
import org.ebonyford.stream.BackupPolicy;

/**
 * The state of a service: its definition, its upstreams and the placement of its
 * requests.
 */
public final class ServiceState {

	/**
	 * Remember whether upstreams recently admitted requests of organisations that ask for
	 * more than their share.
	 */
	private final CapacityProbes watches = new CapacityProbes();

	/**
	 * The speed of the upstreams.
	 */
	private final ServicePace pace = new ServicePace();

	/**
	 * Decides which streams are copied to a second engine.
	 */
	private final BackupPolicy backups = new BackupPolicy();

	/**
	 * The upstreams by identifier.
	 */
	private final Map<String, Upstream> upstreams = new HashMap<>();

	/**
	 * Places requests on model engines.
	 */
	private final Placement enginePlacement;

	/**
	 * Places requests on upstreams that are not model engines.
	 */
	private final Placement defaultPlacement;

	/**
	 * The definition, empty before a configuration names the service.
	 */
	private Optional<ServiceDefinition> definition = Optional.empty();

	/**
	 * Creates a service without upstreams.
	 * @param dataCentre the data centre of this gateway
	 */
	public ServiceState(String dataCentre) {
		this.enginePlacement = new Placement.ForEngines(dataCentre, this.pace,
				() -> this.definition.flatMap(ServiceDefinition::engine).map(EngineProfile::transfers).orElse(false));
		this.defaultPlacement = new Placement.ForServices(dataCentre, this.pace);
	}

	/**
	 * Sets the definition.
	 * @param newDefinition the definition of the configuration in force
	 */
	public void define(ServiceDefinition newDefinition) {
		this.definition = Optional.of(newDefinition);
	}

	/**
	 * Returns the definition.
	 * @return the definition, empty before a configuration names the service
	 */
	public Optional<ServiceDefinition> definition() {
		return this.definition;
	}

	/**
	 * Returns the speed of the upstreams.
	 * @return the pace, which callers update with each response
	 */
	public ServicePace pace() {
		return this.pace;
	}

	/**
	 * Returns the policy that decides which streams are copied to a second engine.
	 * @return the policy, which needs the ends of runs
	 */
	BackupPolicy backups() {
		return this.backups;
	}

	/**
	 * Returns the upstreams.
	 * @return a live map by identifier
	 */
	public Map<String, Upstream> upstreams() {
		return this.upstreams;
	}

	/**
	 * Returns the time until the first of the upstreams excluded at present may be used
	 * again.
	 * @param now the current time in milliseconds
	 * @return the time in milliseconds, empty if no excluded upstream has a known time
	 */
	OptionalLong millisUntilUsable(long now) {
		return this.upstreams.values()
			.stream()
			.filter((upstream) -> !upstream.state().entry().draining())
			.map((upstream) -> upstream.state().health().usableAt())
			.filter(OptionalLong::isPresent)
			.mapToLong((at) -> at.getAsLong() - now)
			.filter((wait) -> wait > 0)
			.min();
	}

	/**
	 * Returns the placement of the service's requests.
	 * @return the placement for the kind of the service's upstreams
	 */
	public Placement placement() {
		return this.definition.flatMap(ServiceDefinition::engine).isPresent() ? this.enginePlacement
				: this.defaultPlacement;
	}

	/**
	 * Returns the states of upstreams.
	 * @param upstreams the upstreams
	 * @return their states
	 */
	static List<UpstreamState> states(List<Upstream> upstreams) {
		List<UpstreamState> states = new ArrayList<>(upstreams.size());
		upstreams.forEach((upstream) -> states.add(upstream.state()));
		return states;
	}

	/**
	 * Returns the record of whether upstreams recently admitted requests like the given
	 * one, for an organisation that asks for more than its share.
	 * @param organisation the organisation
	 * @param turn whether the organisation's share covers the request
	 * @return the watch, which callers update with each such request
	 */
	public CapacityProbe overShareWatch(String organisation, ShareDecision turn) {
		return this.watches.of(organisation, turn);
	}

}
