package org.ebonyford.identity;

/**
 * Identifies a request that may not be repeated, chosen by its caller.
 *
 * @param value the non-blank name
 */
public record IdempotencyKey(String value) implements Comparable<IdempotencyKey> {

	/**
	 * Creates an identifier.
	 * @throws IllegalArgumentException if the name is blank
	 */
	public IdempotencyKey {
		Names.requireName("idempotency key", value);
	}

	@Override
	public int compareTo(IdempotencyKey other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
