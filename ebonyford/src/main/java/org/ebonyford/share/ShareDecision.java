package org.ebonyford.share;

/**
 * Whether it is a request's turn among those of its organisation.
 *
 * @param admitted whether the request is one of those that the organisation's share
 * covers
 * @param admittedFraction the part of the organisation's requests that its share covers,
 * above 0 and at most 1
 */
public record ShareDecision(boolean admitted, double admittedFraction) {

	/**
	 * The turn of an organisation that asks for no more than its share.
	 */
	public static final ShareDecision UNLIMITED = new ShareDecision(true, 1);

	/**
	 * Creates a turn.
	 */
	public ShareDecision {
		if (!(admittedFraction > 0 && admittedFraction <= 1)) {
			throw new IllegalArgumentException("the part must be above 0 and at most 1: " + admittedFraction);
		}
	}

	/**
	 * Returns whether the organisation asks for more than its share covers.
	 * @return {@code true} if some of its requests have no turn
	 */
	public boolean limited() {
		return this.admittedFraction < 1;
	}

}
