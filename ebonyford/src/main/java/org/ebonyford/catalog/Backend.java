package org.ebonyford.catalog;

/**
 * A service to which a route sends a part of its requests.
 *
 * @param service the name of the service
 * @param weight the part of the requests, relative to the weights beside it
 */
public record Backend(String service, int weight) {

	/**
	 * Creates a backend.
	 * @throws IllegalArgumentException if the weight is negative
	 */
	public Backend {
		if (weight < 0) {
			throw new IllegalArgumentException("A weight must not be negative: " + weight);
		}
	}

}
