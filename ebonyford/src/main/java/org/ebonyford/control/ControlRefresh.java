package org.ebonyford.control;

import java.util.OptionalLong;

import org.ebonyford.identity.VmId;

/**
 * Decides when one router appends the state in force anew. The routers' attempts are
 * spread by their names, so that one of them usually spares the others theirs.
 */
final class ControlRefresh {

	/**
	 * The VM of this router.
	 */
	private final VmId self;

	/**
	 * When to append.
	 */
	private final RefreshPolicy policy;

	/**
	 * The version that is watched.
	 */
	private long version = ControlChain.NO_VERSION;

	/**
	 * The clock reading at which the version came into view.
	 */
	private long since;

	/**
	 * The clock reading before which there is no further attempt.
	 */
	private long notBefore = Long.MIN_VALUE;

	ControlRefresh(VmId self, RefreshPolicy policy) {
		this.self = self;
		this.policy = policy;
	}

	/**
	 * Returns whether a state is to be appended now, which counts as an attempt.
	 * @param now the clock reading in milliseconds
	 * @param epochMillis the wall-clock time in milliseconds since the epoch
	 * @param state the state in force
	 * @param kept whether the log still keeps the record of the state
	 * @return {@code true} if the state is to be appended
	 */
	boolean attempt(long now, long epochMillis, AcceptedState state, boolean kept) {
		watch(now, state.version());
		if (now < this.notBefore || !due(now, epochMillis, state, kept)) {
			return false;
		}
		this.notBefore = now + this.policy.retryMillis();
		return true;
	}

	private void watch(long now, long current) {
		if (this.version != current) {
			this.version = current;
			this.since = now;
		}
	}

	private boolean due(long now, long epochMillis, AcceptedState state, boolean kept) {
		long delay = delay();
		OptionalLong appendedAt = state.appendedAt();
		if (kept && appendedAt.isPresent()) {
			return epochMillis >= appendedAt.getAsLong() + this.policy.ageMillis() + delay;
		}
		return !kept && now >= this.since + delay;
	}

	private long delay() {
		int mixed = (this.self.value() + "@" + this.version).hashCode() * 0x9E3779B9;
		return Math.floorMod(mixed >>> 1, this.policy.spreadMillis());
	}

}
