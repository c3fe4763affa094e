package org.ebonyford.share;

/**
 * The decision whether a request is within its organisation's share.
 *
 * @param admitted whether the request is one of those that the organisation's share
 * covers
 * @param admittedFraction the fraction of the organisation's requests that its share
 * covers, above 0 and at most 1
 */
public record ShareDecision(boolean admitted, double admittedFraction) {

	/**
	 * The decision for an organisation that asks for no more than its share.
	 */
	public static final ShareDecision UNLIMITED = new ShareDecision(true, 1);

	/**
	 * Creates a decision.
	 */
	public ShareDecision {
		if (!(admittedFraction > 0 && admittedFraction <= 1)) {
			throw new IllegalArgumentException(
					"admittedFraction must be above 0 and at most 1, but is " + admittedFraction);
		}
	}

	/**
	 * Returns whether the organisation asks for more than its share covers.
	 * @return {@code true} if some of its requests are not admitted
	 */
	public boolean limited() {
		return this.admittedFraction < 1;
	}

}
