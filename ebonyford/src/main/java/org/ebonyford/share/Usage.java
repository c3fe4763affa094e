package org.ebonyford.share;

/**
 * What an organisation asked for and got within a window.
 *
 * @param asked the tokens of its requests
 * @param served the tokens of those requests that were sent to an engine
 */
public record Usage(long asked, long served) {

	/**
	 * Nothing.
	 */
	public static final Usage NONE = new Usage(0, 0);

	/**
	 * Adds two usages.
	 * @param other the other usage
	 * @return the sums
	 */
	public Usage plus(Usage other) {
		return new Usage(this.asked + other.asked, this.served + other.served);
	}

}
