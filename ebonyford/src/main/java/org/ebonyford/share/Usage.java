package org.ebonyford.share;

/**
 * What an organisation asked for and got within a window.
 *
 * @param requestedTokens the tokens of its requests
 * @param servedTokens the tokens of those requests that were sent to an engine
 * @param recentlyRequestedTokens the tokens of its requests within {@link #RECENT_MILLIS}
 * @param recentlyServedTokens the tokens of those that were sent to an engine within that
 * span
 */
public record Usage(long requestedTokens, long servedTokens, long recentlyRequestedTokens, long recentlyServedTokens) {

	/**
	 * The span in milliseconds in which requests count as recent: as short as the seconds
	 * in which shares are judged.
	 */
	public static final long RECENT_MILLIS = 1_000;

	/**
	 * Nothing.
	 */
	public static final Usage NONE = new Usage(0, 0, 0, 0);

	/**
	 * Adds two usages.
	 * @param other the other usage
	 * @return the sums
	 */
	public Usage plus(Usage other) {
		return new Usage(this.requestedTokens + other.requestedTokens, this.servedTokens + other.servedTokens,
				this.recentlyRequestedTokens + other.recentlyRequestedTokens,
				this.recentlyServedTokens + other.recentlyServedTokens);
	}

	/**
	 * Subtracts a usage.
	 * @param other the other usage
	 * @return the differences
	 */
	public Usage minus(Usage other) {
		return new Usage(this.requestedTokens - other.requestedTokens, this.servedTokens - other.servedTokens,
				this.recentlyRequestedTokens - other.recentlyRequestedTokens,
				this.recentlyServedTokens - other.recentlyServedTokens);
	}

}
