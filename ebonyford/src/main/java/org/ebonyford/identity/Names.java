package org.ebonyford.identity;

/**
 * Checks the names that identifiers are made of.
 */
final class Names {

	private Names() {
	}

	/**
	 * Requires a name that is not blank.
	 * @param kind what the name identifies
	 * @param value the name
	 * @throws IllegalArgumentException if the name is {@code null} or blank
	 */
	static void requireName(String kind, String value) {
		if (value == null || value.isBlank()) {
			throw new IllegalArgumentException("The name of a " + kind + " must not be blank");
		}
	}

}
