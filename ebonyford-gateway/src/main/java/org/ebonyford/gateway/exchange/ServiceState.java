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

/**
 * A service with its upstreams, and how requests are placed on them.
 */
public final class ServiceState {

	/**
	 * Whether upstreams lately took requests beyond shares.
	 */
	private final CapacityProbes watches = new CapacityProbes();

	/**
	 * How fast the upstreams work.
	 */
	private final ServicePace pace = new ServicePace();

	/**
	 * The upstreams by identifier.
	 */
	private final Map<String, Upstream> upstreams = new HashMap<>();

	/**
	 * Places requests on model engines.
	 */
	private final Placement enginePlacement;

	/**
	 * Places other requests.
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
	 * @param newDefinition the definition in force
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
	 * Returns how fast the upstreams work.
	 * @return the pace, to be told of answers
	 */
	public ServicePace pace() {
		return this.pace;
	}

	/**
	 * Returns the upstreams.
	 * @return a live map by identifier
	 */
	public Map<String, Upstream> upstreams() {
		return this.upstreams;
	}

	/**
	 * Returns when the first upstream that is left out at present may be used again.
	 * @param now the time in milliseconds
	 * @return the time from now on in milliseconds, empty if none is known to return
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
	 * Returns how requests are placed.
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
	 * Returns whether upstreams lately took requests like one of an organisation that
	 * asks for more than its share.
	 * @param organisation the organisation
	 * @param turn whether it is the request's turn
	 * @return the watch, to be told of such requests
	 */
	public CapacityProbe overShareWatch(String organisation, ShareDecision turn) {
		return this.watches.of(organisation, turn);
	}

}
