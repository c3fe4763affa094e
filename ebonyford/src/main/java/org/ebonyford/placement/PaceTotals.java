package org.ebonyford.placement;

/**
 * What some routers have learned of how fast the upstreams of a service work. It holds
 * sums of their averages, so that those of many routers add up, and each counts alike
 * however many requests it has.
 *
 * @param firstByteMicros the sum of their times to the first byte of short requests, in
 * microseconds
 * @param firstByteRouters the number of routers that know that time
 * @param prefillNanosPerToken the sum of their times for reading a token, in nanoseconds
 * @param prefillRouters the number of routers that know that time
 */
public record PaceTotals(long firstByteMicros, int firstByteRouters, long prefillNanosPerToken, int prefillRouters) {

	/**
	 * Nothing is known.
	 */
	public static final PaceTotals NONE = new PaceTotals(0, 0, 0, 0);

	/**
	 * Adds what other routers know.
	 * @param other their sums
	 * @return the sums of all
	 */
	public PaceTotals plus(PaceTotals other) {
		return new PaceTotals(this.firstByteMicros + other.firstByteMicros,
				this.firstByteRouters + other.firstByteRouters, this.prefillNanosPerToken + other.prefillNanosPerToken,
				this.prefillRouters + other.prefillRouters);
	}

	/**
	 * Leaves out what some of the routers know.
	 * @param part their sums, which are contained in these
	 * @return the differences
	 */
	public PaceTotals minus(PaceTotals part) {
		return new PaceTotals(this.firstByteMicros - part.firstByteMicros,
				this.firstByteRouters - part.firstByteRouters, this.prefillNanosPerToken - part.prefillNanosPerToken,
				this.prefillRouters - part.prefillRouters);
	}

}
