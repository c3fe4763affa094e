package org.ebonyford.catalog;

import java.util.Map;
import java.util.Optional;

/**
 * A version of what the operator has put in force.
 *
 * @param version the version; versions grow, with gaps
 * @param routes the routes
 * @param services the services by name
 * @param limits the limits of callers
 * @param tokensPerSecond the tokens a second that the engines make together, 0 if unknown
 * @param keys the holders of the keys by key, empty if requests need no key
 */
public record Catalog(long version, RouteTable routes, Map<String, ServiceDefinition> services, CallerLimits limits,
		double tokensPerSecond, Optional<Map<String, KeyHolder>> keys) {

	/**
	 * Creates a catalog.
	 */
	public Catalog {
		services = Map.copyOf(services);
		keys = keys.map(Map::copyOf);
	}

}
