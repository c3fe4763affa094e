package org.ebonyford.emulator.load;

import java.util.List;
import java.util.Random;

/**
 * Chooses the route of each request, as the platform's balancer does.
 */
@FunctionalInterface
public interface Balancer {

	/**
	 * Chooses a route.
	 * @param draw decides where several routes are as good
	 * @return the route
	 */
	Route next(Random draw);

	/**
	 * Draws each route as often as any other.
	 *
	 * @param routes the routes
	 */
	record OfAll(List<Route> routes) implements Balancer {

		/**
		 * Creates a balancer.
		 */
		public OfAll {
			routes = List.copyOf(routes);
		}

		@Override
		public Route next(Random draw) {
			return this.routes.get(draw.nextInt(this.routes.size()));
		}

	}

}
