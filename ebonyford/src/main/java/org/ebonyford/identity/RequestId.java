package org.ebonyford.identity;

/**
 * Identifies one request as one router received it.
 *
 * @param value the non-blank name
 */
public record RequestId(String value) implements Comparable<RequestId> {

	/**
	 * Creates an identifier.
	 * @throws IllegalArgumentException if the name is blank
	 */
	public RequestId {
		Names.requireName("request", value);
	}

	@Override
	public int compareTo(RequestId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
