package org.ebonyford.dispatch;

import org.ebonyford.identity.GrantId;

/**
 * A request that was handed to an upstream.
 *
 * @param waiting the request
 * @param grant the grant under which it was sent
 * @param upstream the upstream
 * @param slot the slot that the request occupies
 * @param since the clock reading in milliseconds at which the request was sent
 * @param withdrawn whether the caller left
 */
record Running(Waiting waiting, GrantId grant, UpstreamState upstream, int slot, long since, boolean withdrawn) {

	/**
	 * Returns the request after the event loop stood still, which is not counted as a
	 * part of its time.
	 * @param now the clock reading in milliseconds
	 * @return the changed copy
	 */
	Running resume(long now) {
		return new Running(this.waiting, this.grant, this.upstream, this.slot, now, this.withdrawn);
	}

	/**
	 * Returns the request after its caller left.
	 * @return the changed copy
	 */
	Running withdraw() {
		return new Running(this.waiting, this.grant, this.upstream, this.slot, this.since, true);
	}

}
