package org.ebonyford.router.evidence;

import java.util.Objects;

/**
 * A part of a period for which records are missing.
 *
 * @param router the VM of the router, or {@code all} if the log itself lacks them
 * @param from the wall-clock time in milliseconds at which the part begins
 * @param to the wall-clock time in milliseconds before which it ends
 * @param cause why records are missing, as far as can be told
 */
public record Gap(String router, long from, long to, String cause) {

	/**
	 * Creates a gap.
	 * @throws NullPointerException if the router or the cause is {@code null}
	 */
	public Gap {
		Objects.requireNonNull(router, "router");
		Objects.requireNonNull(cause, "cause");
	}

}
