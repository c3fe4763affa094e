package org.ebonyford.placement;

/**
 * The latency estimates of several routers for the upstreams of a service, as sums of the
 * routers' averages. Sums can be merged, and each router has the same weight however many
 * requests it sends.
 *
 * @param firstByteMicros the sum of the routers' times to the first byte of short
 * requests, in microseconds
 * @param firstByteRouters the number of routers in that sum
 * @param prefillNanosPerToken the sum of the routers' prefill times for a token, in
 * nanoseconds
 * @param prefillRouters the number of routers in that sum
 */
public record PaceTotals(long firstByteMicros, int firstByteRouters, long prefillNanosPerToken, int prefillRouters) {

	/**
	 * No estimates.
	 */
	public static final PaceTotals NONE = new PaceTotals(0, 0, 0, 0);

	/**
	 * Adds the totals of other routers.
	 * @param other their totals
	 * @return the totals of all
	 */
	public PaceTotals plus(PaceTotals other) {
		return new PaceTotals(this.firstByteMicros + other.firstByteMicros,
				this.firstByteRouters + other.firstByteRouters, this.prefillNanosPerToken + other.prefillNanosPerToken,
				this.prefillRouters + other.prefillRouters);
	}

	/**
	 * Subtracts the totals of some of the routers.
	 * @param part their totals, which are contained in these
	 * @return the differences
	 */
	public PaceTotals minus(PaceTotals part) {
		return new PaceTotals(this.firstByteMicros - part.firstByteMicros,
				this.firstByteRouters - part.firstByteRouters, this.prefillNanosPerToken - part.prefillNanosPerToken,
				this.prefillRouters - part.prefillRouters);
	}

}
