package org.ebonyford.router.settings;

/**
 * A secret, which its text form does not show.
 *
 * @param value the secret
 */
public record Secret(String value) {

	@Override
	public String toString() {
		return "(secret)";
	}

}
