package org.ebonyford.identity;

/**
 * Identifies a VM that runs a router.
 *
 * @param value the non-blank name
 */
public record VmId(String value) implements Comparable<VmId> {

	/**
	 * Creates an identifier.
	 * @throws IllegalArgumentException if the name is blank
	 */
	public VmId {
		Names.requireName("VM", value);
	}

	@Override
	public int compareTo(VmId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
