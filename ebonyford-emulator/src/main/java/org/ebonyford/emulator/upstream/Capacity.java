package org.ebonyford.emulator.upstream;

/**
 * How much work an upstream bears at once. It is cold at its start and warms with every
 * request that it completes.
 */
final class Capacity {

	/**
	 * The requests that a cold upstream bears.
	 */
	private final int cold;

	/**
	 * The requests that a warm upstream bears.
	 */
	private final int warm;

	/**
	 * The requests that have to complete before one more is borne.
	 */
	private final int completionsPerSlot;

	/**
	 * The requests that completed since the upstream turned cold.
	 */
	private long completions;

	/**
	 * Creates a cold capacity.
	 * @param cold the requests that a cold upstream bears
	 * @param warm the requests that a warm upstream bears
	 * @param completionsPerSlot the requests that have to complete before one more is
	 * borne
	 */
	Capacity(int cold, int warm, int completionsPerSlot) {
		this.cold = cold;
		this.warm = warm;
		this.completionsPerSlot = completionsPerSlot;
	}

	/**
	 * Returns the requests that are borne now.
	 * @return the number of requests
	 */
	int bears() {
		return (int) Math.min(this.warm, this.cold + this.completions / this.completionsPerSlot);
	}

	/**
	 * Returns the requests that completed since the upstream turned cold.
	 * @return the number of requests
	 */
	long completions() {
		return this.completions;
	}

	/**
	 * Records that a request completed.
	 */
	void complete() {
		this.completions++;
	}

	/**
	 * Turns cold.
	 */
	void turnCold() {
		this.completions = 0;
	}

	/**
	 * Turns as warm as can be.
	 */
	void turnWarm() {
		this.completions = (long) this.warm * this.completionsPerSlot;
	}

}
