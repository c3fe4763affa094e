package org.ebonyford.gateway.wire;

import java.util.Optional;

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

	/**
	 * An order to move a service to another software version, or its withdrawal.
	 *
	 * @param service the service
	 * @param target what is ordered, empty if the order was withdrawn
	 */
	record ForRollout(String service, Optional<Target> target) implements OperatorRecord {

		/**
		 * What an order asks for.
		 *
		 * @param version the software version
		 * @param durationMillis the time in milliseconds within which the roll-out has to
		 * end
		 */
		public record Target(String version, long durationMillis) {
		}

	}

}
