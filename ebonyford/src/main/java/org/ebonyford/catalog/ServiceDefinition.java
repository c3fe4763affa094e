package org.ebonyford.catalog;

import java.util.Optional;

/**
 * A service, which is a set of upstreams that answer alike.
 *
 * @param name the name of the service
 * @param healthPath the path of the upstreams' health check
 * @param connectionLimit the number of connections that an upstream accepts from all
 * routers together
 * @param coldPerSecond the number of requests a second that a cold upstream bears from
 * all routers together, 0 if its upstreams do not start cold
 * @param engine what its engines hold, empty if the upstreams are no model engines
 */
public record ServiceDefinition(String name, String healthPath, int connectionLimit, double coldPerSecond,
		Optional<EngineProfile> engine) {
}
