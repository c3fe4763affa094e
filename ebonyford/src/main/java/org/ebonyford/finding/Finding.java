package org.ebonyford.finding;

import java.util.Objects;

/**
 * One fault in a file that a person wrote.
 *
 * @param place the place of the fault
 * @param message what is wrong and what is expected instead
 */
public record Finding(Place place, String message) {

	/**
	 * Creates a finding.
	 * @throws NullPointerException if an argument is {@code null}
	 */
	public Finding {
		Objects.requireNonNull(place, "place");
		Objects.requireNonNull(message, "message");
	}

	@Override
	public String toString() {
		return this.place + ": " + this.message;
	}

}
