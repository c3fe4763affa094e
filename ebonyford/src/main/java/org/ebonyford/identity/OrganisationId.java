package org.ebonyford.identity;

/**
 * Identifies an organisation, which is a customer of the operator.
 *
 * @param value the non-blank name
 */
public record OrganisationId(String value) implements Comparable<OrganisationId> {

	/**
	 * Creates an identifier.
	 * @throws IllegalArgumentException if the name is blank
	 */
	public OrganisationId {
		Names.requireName("organisation", value);
	}

	@Override
	public int compareTo(OrganisationId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
