package org.ebonyford.identity;

import java.util.Objects;

/**
 * Identifies one run of a router's process on a VM.
 *
 * @param vm the VM that the process runs on
 * @param number a number that is larger for a later process on the same VM
 */
public record Incarnation(VmId vm, long number) {

	/**
	 * Creates an incarnation.
	 * @throws NullPointerException if the VM is {@code null}
	 */
	public Incarnation {
		Objects.requireNonNull(vm, "vm");
	}

}
