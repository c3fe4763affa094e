package org.ebonyford.configuration;

import org.ebonyford.identity.PoolId;

/**
 * A pool of interchangeable upstreams.
 *
 * @param id the name of the pool
 * @param kind the kind of its upstreams
 * @param warmLimit the requests that a warm upstream runs at a time
 * @param coldLimit the requests that an upstream bears right after its start
 */
public record Pool(PoolId id, Kind kind, int warmLimit, int coldLimit) {

	/**
	 * Creates a pool.
	 * @throws IllegalArgumentException if the limits are not ordered
	 */
	public Pool {
		if (coldLimit < 1 || warmLimit < coldLimit) {
			throw new IllegalArgumentException("A pool needs 1 <= cold limit <= warm limit");
		}
	}

	/**
	 * The kind of a pool's upstreams.
	 */
	public enum Kind {

		/**
		 * Model engines, whose cost is counted in tokens.
		 */
		ENGINE,

		/**
		 * Plain services, whose cost is counted in calls.
		 */
		SERVICE

	}

}
