package org.ebonyford.dispatch;

import org.ebonyford.fairness.Account;

/**
 * What an owner charged for a grant.
 *
 * @param pool the pool
 * @param account the account of the organisation that was charged
 * @param upstream the upstream
 * @param slot the slot
 * @param hint the expected cost that came with the request
 * @param cost the cost that was charged
 */
record Charge(PoolState pool, Account account, UpstreamState upstream, int slot, long hint, long cost) {

}
