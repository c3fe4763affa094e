package org.ebonyford.dispatch;

import org.ebonyford.effect.Outbox;
import org.ebonyford.identity.GrantId;
import org.ebonyford.identity.VmId;
import org.ebonyford.request.Ending;

/**
 * Tells the owner of a slot that a grant was used up or is handed back.
 */
@FunctionalInterface
interface GrantReply {

	/**
	 * Tells the owner.
	 * @param now the clock reading in milliseconds
	 * @param owner the VM of the owner
	 * @param grant the grant
	 * @param ending how the exchange ended
	 * @param cost the true cost
	 * @param outbox takes the message
	 */
	void ended(long now, VmId owner, GrantId grant, Ending ending, long cost, Outbox outbox);

}
