package org.ebonyford.router.caller;

import java.util.Objects;

/**
 * One header of a request or an answer.
 *
 * @param name the name
 * @param value the value
 */
public record HeaderField(String name, String value) {

	/**
	 * Creates a header.
	 * @throws NullPointerException if an argument is {@code null}
	 */
	public HeaderField {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(value, "value");
	}

}
