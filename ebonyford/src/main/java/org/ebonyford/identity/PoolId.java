package org.ebonyford.identity;

/**
 * Identifies a pool of interchangeable upstreams.
 *
 * @param value the non-blank name
 */
public record PoolId(String value) implements Comparable<PoolId> {

	/**
	 * Creates an identifier.
	 * @throws IllegalArgumentException if the name is blank
	 */
	public PoolId {
		Names.requireName("pool", value);
	}

	@Override
	public int compareTo(PoolId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
