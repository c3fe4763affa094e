package org.ebonyford.placement;

/**
 * The load that routers have put on an upstream.
 *
 * @param running the requests that were sent and have not ended
 * @param reading the prompt tokens of requests whose first event has not arrived
 * @param memory the tokens for which the requests may need memory
 */
public record Load(int running, long reading, long memory) {

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
		return new Load(this.running + other.running, this.reading + other.reading, this.memory + other.memory);
	}

	/**
	 * Subtracts a load.
	 * @param other the other load
	 * @return the differences
	 */
	public Load minus(Load other) {
		return new Load(this.running - other.running, this.reading - other.reading, this.memory - other.memory);
	}

}
