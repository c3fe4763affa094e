package org.ebonyford.rollout;

/**
 * How far a roll-out is.
 */
public enum RolloutPhase {

	/**
	 * The target gets a small part of the requests until it is judged.
	 */
	CANARY(false),

	/**
	 * The target was found sound, and new requests move to it.
	 */
	SHIFTING(false),

	/**
	 * Only the target gets new requests; open ones at other versions end.
	 */
	RETIRING(false),

	/**
	 * All requests are at the target, and the upstreams of other versions may stop.
	 */
	COMPLETED(true),

	/**
	 * The target gets no more requests.
	 */
	ROLLED_BACK(true);

	/**
	 * Whether the roll-out has ended.
	 */
	private final boolean terminal;

	RolloutPhase(boolean terminal) {
		this.terminal = terminal;
	}

	/**
	 * Returns whether the roll-out has ended.
	 * @return {@code true} if only a new order changes the phase
	 */
	public boolean terminal() {
		return this.terminal;
	}

}
