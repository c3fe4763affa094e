package org.ebonyford.identity;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Computes digests.
 */
public final class Digests {

	private Digests() {
	}

	/**
	 * Returns the SHA-256 digest of parts, each of which is preceded by its length.
	 * @param parts the parts
	 * @return the digest in lower-case hexadecimal digits
	 */
	public static String ofParts(byte[]... parts) {
		MessageDigest digest = algorithm();
		for (byte[] part : parts) {
			digest.update(Integer.toString(part.length).getBytes(StandardCharsets.US_ASCII));
			digest.update((byte) ':');
			digest.update(part);
		}
		return HexFormat.of().formatHex(digest.digest());
	}

	/**
	 * Returns the SHA-256 digest of bytes.
	 * @param bytes the bytes
	 * @return the digest in lower-case hexadecimal digits
	 */
	public static String sha256(byte[] bytes) {
		return HexFormat.of().formatHex(algorithm().digest(bytes));
	}

	private static MessageDigest algorithm() {
		try {
			return MessageDigest.getInstance("SHA-256");
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("Every Java platform has SHA-256", ex);
		}
	}

}
