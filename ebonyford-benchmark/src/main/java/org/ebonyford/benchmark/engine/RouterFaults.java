package org.ebonyford.benchmark.engine;

import java.util.List;

/**
 * What befalls routers while a load is played.
 */
public interface RouterFaults {

	/**
	 * No fault.
	 */
	RouterFaults NONE = (receiver, sender, now) -> true;

	/**
	 * Returns whether a report reaches a router.
	 * @param receiver the number of the router
	 * @param sender the number of the router that reports
	 * @param now the time in milliseconds
	 * @return {@code false} if the report is lost
	 */
	boolean hears(int receiver, int sender, long now);

	/**
	 * Returns when a router starts anew, without anything that it knew.
	 * @param router the number of the router
	 * @return the times in milliseconds
	 */
	default List<Long> restartsAt(int router) {
		return List.of();
	}

	/**
	 * Returns for how long a request keeps a router from anything else.
	 * @param router the number of the router
	 * @param sent whether the request is sent to an engine
	 * @return the time in milliseconds
	 */
	default double millis(int router, boolean sent) {
		return 0;
	}

	/**
	 * Returns whether an engine cannot be used, as all routers know at once.
	 * @param engine the number of the engine
	 * @param now the time in milliseconds
	 * @return {@code true} while it is out
	 */
	default boolean out(int engine, long now) {
		return false;
	}

	/**
	 * Returns whether a request that an engine would take is refused by its router for a
	 * reason of the router's own.
	 * @param router the number of the router
	 * @param now the time in milliseconds
	 * @return {@code true} if it is not sent
	 */
	default boolean turnsDown(int router, long now) {
		return false;
	}

}
