package org.ebonyford.placement;

/**
 * The terms on which a request is placed.
 *
 * @param limitMillis the time in milliseconds within which the first byte should come
 * @param usedShare the part of its fair share that the organisation has used
 */
public record Terms(double limitMillis, double usedShare) {

	/**
	 * Returns whether the organisation is beyond its share: it gets what others leave,
	 * and its requests do not go where their shared parts have to be read again.
	 * @return {@code true} if others go first
	 */
	public boolean beyond() {
		return this.usedShare > 1;
	}

}
