package org.ebonyford.gateway.wire;

import org.ebonyford.catalog.Catalog;

/**
 * What the operator has written to the store.
 */
public sealed interface OperatorRecord {

	/**
	 * A version of the configuration.
	 *
	 * @param catalog the version
	 */
	record ForCatalog(Catalog catalog) implements OperatorRecord {
	}

	/**
	 * The evacuation of a data centre's upstreams.
	 *
	 * @param dataCentre the data centre
	 * @param active whether nothing is to be sent there
	 */
	record ForEvacuation(String dataCentre, boolean active) implements OperatorRecord {
	}

}
