package org.ebonyford.identity;

/**
 * Identifies the content of a request by a digest over its organisation, path and body.
 *
 * @param value the SHA-256 digest in lower-case hexadecimal digits
 */
public record Fingerprint(String value) {

	/**
	 * Creates a fingerprint.
	 * @throws IllegalArgumentException if the digest is blank
	 */
	public Fingerprint {
		Names.requireName("fingerprint", value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
