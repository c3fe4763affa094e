package org.ebonyford.gateway.rollout;

import org.ebonyford.gateway.store.StoreRecord;
import org.ebonyford.rollout.RolloutOrder;
import org.ebonyford.rollout.RolloutStatus;

/**
 * Encodes the status of a roll-out for the operator, in the form of the platform.
 */
public interface StatusEncoder {

	/**
	 * Encodes a status.
	 * @param order the order
	 * @param status the status
	 * @return the record to write
	 */
	StoreRecord encode(RolloutOrder order, RolloutStatus status);

}
