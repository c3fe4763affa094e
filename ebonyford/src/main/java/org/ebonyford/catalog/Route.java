package org.ebonyford.catalog;

import java.util.List;

/**
 * A route, which leads requests for a host and a path prefix to services.
 *
 * @param name the name of the route
 * @param host the host in lower case
 * @param pathPrefix the prefix, which begins and ends with a slash
 * @param kind what may be repeated, and how answers arrive
 * @param backends the services, of which at least one has a weight
 * @param maxAttempts the greatest number of upstreams on which a request may run
 * @param timeoutMillis the longest time a caller is kept waiting, in milliseconds
 * @param targetMillis the time in milliseconds within which the first byte is on time
 * @param gapMillis the longest pause in milliseconds between events that is on time
 * @param priority the rank, 0 being the highest
 * @param open whether requests need no key
 */
public record Route(String name, String host, String pathPrefix, RouteKind kind, List<Backend> backends,
		int maxAttempts, long timeoutMillis, long targetMillis, long gapMillis, int priority, boolean open) {

	/**
	 * Creates a route.
	 * @throws IllegalArgumentException if no backend has a weight
	 */
	public Route {
		backends = List.copyOf(backends);
		if (backends.stream().mapToInt(Backend::weight).sum() <= 0) {
			throw new IllegalArgumentException("Route " + name + " needs a backend with a weight");
		}
	}

	/**
	 * Chooses the service for a request, so that the services receive their parts.
	 * @param hash a hash of the request that is spread evenly
	 * @return the name of the service
	 */
	public String service(int hash) {
		int rest = Math.floorMod(hash, this.backends.stream().mapToInt(Backend::weight).sum());
		for (Backend backend : this.backends) {
			rest -= backend.weight();
			if (rest < 0) {
				return backend.service();
			}
		}
		throw new IllegalStateException("The weights of route " + this.name + " do not add up");
	}

}
