package org.ebonyford.gateway.store;

/**
 * The topics of the store that a gateway uses.
 */
public enum StoreTopic {

	/**
	 * What the operator writes.
	 */
	OPERATOR,

	/**
	 * The upstreams' entries.
	 */
	UPSTREAMS,

	/**
	 * The gateways' announcements of themselves.
	 */
	GATEWAYS

}
