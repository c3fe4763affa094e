package org.ebonyford.identity;

/**
 * Identifies a data centre.
 *
 * @param value the non-blank name
 */
public record DataCentreId(String value) implements Comparable<DataCentreId> {

	/**
	 * Creates an identifier.
	 * @throws IllegalArgumentException if the name is blank
	 */
	public DataCentreId {
		Names.requireName("data centre", value);
	}

	@Override
	public int compareTo(DataCentreId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
