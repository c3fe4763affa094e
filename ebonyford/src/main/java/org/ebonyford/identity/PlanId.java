package org.ebonyford.identity;

/**
 * Identifies a plan that organisations subscribe to.
 *
 * @param value the non-blank name
 */
public record PlanId(String value) implements Comparable<PlanId> {

	/**
	 * Creates an identifier.
	 * @throws IllegalArgumentException if the name is blank
	 */
	public PlanId {
		Names.requireName("plan", value);
	}

	@Override
	public int compareTo(PlanId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
