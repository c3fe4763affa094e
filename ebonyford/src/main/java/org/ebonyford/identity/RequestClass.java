package org.ebonyford.identity;

/**
 * Identifies a class of requests that are reported together.
 *
 * @param value the non-blank name
 */
public record RequestClass(String value) implements Comparable<RequestClass> {

	/**
	 * Creates an identifier.
	 * @throws IllegalArgumentException if the name is blank
	 */
	public RequestClass {
		Names.requireName("request class", value);
	}

	@Override
	public int compareTo(RequestClass other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
