package org.ebonyford.catalog;

/**
 * What a caller may send, and how long it may take.
 *
 * @param headerBytes the greatest size of a request's head in bytes
 * @param bodyBytes the greatest size of a request's body in bytes
 * @param headerMillis the longest time in milliseconds that a head may take to arrive
 * @param idleMillis the longest time in milliseconds that a connection may stay idle
 */
public record CallerLimits(int headerBytes, int bodyBytes, long headerMillis, long idleMillis) {

	/**
	 * The limits before any are known.
	 */
	public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4_194_304, 3_000, 15_000);

	/**
	 * Returns limits that allow whatever these limits or others allow.
	 * @param other the other limits
	 * @return the greater of each two limits
	 */
	public CallerLimits orMore(CallerLimits other) {
		return new CallerLimits(Math.max(this.headerBytes, other.headerBytes),
				Math.max(this.bodyBytes, other.bodyBytes), Math.max(this.headerMillis, other.headerMillis),
				Math.max(this.idleMillis, other.idleMillis));
	}

}
