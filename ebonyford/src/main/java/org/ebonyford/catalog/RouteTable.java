package org.ebonyford.catalog;

import java.util.Collection;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Finds the route of a request. The time of a search grows with the slashes in the path
 * and not with the number of routes, so that lists of thousands cost nothing more.
 */
public final class RouteTable {

	/**
	 * The routes by host and by path prefix.
	 */
	private final Map<String, Map<String, Route>> routes = new HashMap<>();

	private RouteTable() {
	}

	/**
	 * Creates a table. Of routes with the same host and prefix the last one counts.
	 * @param routes the routes
	 * @return the table
	 */
	public static RouteTable of(Collection<Route> routes) {
		RouteTable table = new RouteTable();
		for (Route route : routes) {
			table.routes.computeIfAbsent(route.host().toLowerCase(Locale.ROOT), (host) -> new HashMap<>())
				.put(route.pathPrefix(), route);
		}
		return table;
	}

	/**
	 * Finds the route with the longest prefix that begins the path.
	 * @param host the host as the caller wrote it, with or without a port
	 * @param path the path without a query
	 * @return the route, or empty if none leads there
	 */
	public Optional<Route> find(String host, String path) {
		Map<String, Route> prefixes = this.routes.get(hostName(host));
		if (prefixes == null) {
			return Optional.empty();
		}
		for (int end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
			Route route = prefixes.get(path.substring(0, end + 1));
			if (route != null) {
				return Optional.of(route);
			}
		}
		return Optional.empty();
	}

	private static String hostName(String host) {
		int port = host.lastIndexOf(':');
		String name = (port > host.lastIndexOf(']')) ? host.substring(0, port) : host;
		return name.toLowerCase(Locale.ROOT);
	}

}
