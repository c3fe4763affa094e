package org.ebonyford.gateway.store;

/**
 * The topics of the store that a gateway uses.
 */
public enum StoreTopic {

	/**
	 * What the operator writes.
	 */
	OPERATOR(true),

	/**
	 * The upstreams' entries.
	 */
	UPSTREAMS(true),

	/**
	 * The gateways' announcements of themselves.
	 */
	GATEWAYS(false),

	/**
	 * Which software versions of upstreams began the streams of late.
	 */
	STREAMS(false);

	/**
	 * Whether changes must be in force within a bound.
	 */
	private final boolean timeBound;

	StoreTopic(boolean timeBound) {
		this.timeBound = timeBound;
	}

	/**
	 * Returns whether changes of the topic must be in force within a bound, so that its
	 * records may not be used while they are outdated.
	 * @return {@code true} if there is a bound
	 */
	public boolean timeBound() {
		return this.timeBound;
	}

}
