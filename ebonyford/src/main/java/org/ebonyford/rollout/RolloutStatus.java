package org.ebonyford.rollout;

/**
 * What the operator is told of a roll-out.
 */
public enum RolloutStatus {

	/**
	 * The roll-out has not ended.
	 */
	RUNNING("running"),

	/**
	 * The upstreams of other versions may stop.
	 */
	COMPLETED("completed"),

	/**
	 * The upstreams of the target may stop.
	 */
	ROLLED_BACK("rolled_back");

	/**
	 * The value in the operator's record.
	 */
	private final String text;

	RolloutStatus(String text) {
		this.text = text;
	}

	/**
	 * Returns the status that belongs to a phase.
	 * @param phase the phase
	 * @return the status
	 */
	public static RolloutStatus of(RolloutPhase phase) {
		return switch (phase) {
			case CANARY, SHIFTING, RETIRING -> RUNNING;
			case COMPLETED -> COMPLETED;
			case ROLLED_BACK -> ROLLED_BACK;
		};
	}

	/**
	 * Returns the value in the operator's record.
	 * @return the value
	 */
	public String text() {
		return this.text;
	}

}
