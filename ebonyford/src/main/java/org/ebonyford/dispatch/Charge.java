package org.ebonyford.dispatch;

import org.ebonyford.fairness.Account;
import org.ebonyford.identity.GrantId;

/**
 * What an owner charged for a grant.
 *
 * @param grant the grant
 * @param since the clock reading in milliseconds of the grant
 * @param pool the pool
 * @param account the account of the organisation that was charged
 * @param upstream the upstream
 * @param slot the slot
 * @param hint the expected cost that came with the request
 * @param cost the cost that was charged
 */
record Charge(GrantId grant, long since, PoolState pool, Account account, UpstreamState upstream, int slot, long hint,
		long cost) {

	/**
	 * Returns whether the end of the grant is not awaited any more.
	 * @param before the clock reading in milliseconds before which old grants were given
	 * @return whether the grant is old and occupies no slot of this router
	 */
	boolean forgotten(long before) {
		return this.since < before && this.upstream.slots().find(this.grant).isEmpty();
	}

}
