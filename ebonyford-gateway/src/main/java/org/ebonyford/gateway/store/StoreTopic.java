package org.ebonyford.gateway.store;

/**
 * The topics of the store that a gateway uses.
 */
public enum StoreTopic {

	/**
	 * What the operator writes.
	 */
	OPERATOR(1_500, true),

	/**
	 * The upstreams' entries.
	 */
	UPSTREAMS(1_200, true),

	/**
	 * The gateways' announcements of themselves.
	 */
	GATEWAYS(1_700, false),

	/**
	 * Which software versions of upstreams began the streams of late.
	 */
	STREAMS(1_700, false),

	/**
	 * How far the roll-outs that the operator ordered are, by service.
	 */
	ROLLOUTS(1_500, true),

	/**
	 * What the operator is told.
	 */
	STATUS(1_700, false);

	/**
	 * The maximum age in milliseconds of records that come through a relay.
	 */
	private final long maxRelayedAgeMillis;

	/**
	 * Whether changes must be in force within a bound.
	 */
	private final boolean timeBound;

	StoreTopic(long maxRelayedAgeMillis, boolean timeBound) {
		this.maxRelayedAgeMillis = maxRelayedAgeMillis;
		this.timeBound = timeBound;
	}

	/**
	 * Returns the age beyond which the relay of the records may have lost the store. It
	 * is above the time of two reads of a relay, and leaves time for the pause of a feed
	 * and a read of the store within the two seconds in which a change must be in force.
	 * @return the age in milliseconds
	 */
	long maxRelayedAgeMillis() {
		return this.maxRelayedAgeMillis;
	}

	/**
	 * Returns whether changes of the topic must be in force within a bound, so that a
	 * relay does not let peers wait for records while its own are too old.
	 * @return {@code true} if there is a bound
	 */
	boolean timeBound() {
		return this.timeBound;
	}

}
