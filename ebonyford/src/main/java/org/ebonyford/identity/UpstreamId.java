package org.ebonyford.identity;

/**
 * Identifies an upstream: a model engine or a plain service instance.
 *
 * @param value the non-blank name
 */
public record UpstreamId(String value) implements Comparable<UpstreamId> {

	/**
	 * Creates an identifier.
	 * @throws IllegalArgumentException if the name is blank
	 */
	public UpstreamId {
		Names.requireName("upstream", value);
	}

	@Override
	public int compareTo(UpstreamId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
