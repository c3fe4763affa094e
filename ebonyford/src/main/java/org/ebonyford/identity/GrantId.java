package org.ebonyford.identity;

import java.util.Objects;

/**
 * Identifies one permission to send one request to one upstream.
 *
 * @param owner the process that granted it
 * @param sequence the number of the grant among all grants of that process
 */
public record GrantId(Incarnation owner, long sequence) {

	/**
	 * Creates an identifier.
	 * @throws NullPointerException if the owner is {@code null}
	 */
	public GrantId {
		Objects.requireNonNull(owner, "owner");
	}

}
