package org.ebonyford.share;

/**
 * Whether it is a request's turn among those of its organisation.
 *
 * @param passes whether the request is one of those that the organisation's share covers
 * @param part the part of the organisation's requests that its share covers, above 0 and
 * at most 1
 */
public record Turn(boolean passes, double part) {

	/**
	 * The turn of an organisation that asks for no more than its share.
	 */
	public static final Turn ALWAYS = new Turn(true, 1);

	/**
	 * Creates a turn.
	 */
	public Turn {
		if (!(part > 0 && part <= 1)) {
			throw new IllegalArgumentException("the part must be above 0 and at most 1: " + part);
		}
	}

	/**
	 * Returns whether the organisation asks for more than its share covers.
	 * @return {@code true} if some of its requests have no turn
	 */
	public boolean limited() {
		return this.part < 1;
	}

}
