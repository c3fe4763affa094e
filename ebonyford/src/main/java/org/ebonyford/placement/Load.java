package org.ebonyford.placement;

/**
 * The load that routers have put on an upstream.
 *
 * @param running the requests that were sent and have not ended
 * @param prefillTokens the prompt tokens of requests whose first event has not arrived
 * @param memoryTokens the tokens for which the requests may need memory
 */
public record Load(int running, long prefillTokens, long memoryTokens) {

	/**
	 * No load.
	 */
	public static final Load NONE = new Load(0, 0, 0);

	/**
	 * Adds two loads.
	 * @param other the other load
	 * @return the sums
	 */
	public Load plus(Load other) {
		return new Load(this.running + other.running, this.prefillTokens + other.prefillTokens,
				this.memoryTokens + other.memoryTokens);
	}

	/**
	 * Subtracts a load.
	 * @param other the other load
	 * @return the differences
	 */
	public Load minus(Load other) {
		return new Load(this.running - other.running, this.prefillTokens - other.prefillTokens,
				this.memoryTokens - other.memoryTokens);
	}

}
