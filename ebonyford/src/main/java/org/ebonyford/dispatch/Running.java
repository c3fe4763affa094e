package org.ebonyford.dispatch;

import org.ebonyford.identity.GrantId;

/**
 * A request that was handed to an upstream.
 *
 * @param waiting the request
 * @param grant the grant under which it was sent
 * @param upstream the upstream
 * @param slot the slot that the request occupies
 * @param withdrawn whether the caller left
 */
record Running(Waiting waiting, GrantId grant, UpstreamState upstream, int slot, boolean withdrawn) {

	/**
	 * Returns the request after its caller left.
	 * @return the changed copy
	 */
	Running withdraw() {
		return new Running(this.waiting, this.grant, this.upstream, this.slot, true);
	}

}
