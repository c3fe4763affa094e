package org.ebonyford.router.caller;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import org.ebonyford.configuration.Configuration;
import org.ebonyford.configuration.Organisation;
import org.ebonyford.identity.Digests;
import org.ebonyford.identity.OrganisationId;

/**
 * Finds the organisation that a key belongs to. Organisations are looked up by the digest
 * of the presented key, which tells nothing about a key to someone who measures the
 * look-up; the digests themselves are compared in constant time.
 */
final class Authenticator {

	/**
	 * What the value of the authorization header begins with, in lower-case letters.
	 */
	private static final String SCHEME = "bearer ";

	/**
	 * The organisations of the configuration that was last asked for.
	 */
	private volatile Index index = new Index(null, Map.of());

	/**
	 * Finds the organisation that a key belongs to.
	 * @param configuration the configuration in force
	 * @param authorization the value of the authorization header, {@code null} if there
	 * is none
	 * @return the organisation, or empty if the key is missing or unknown
	 */
	Optional<OrganisationId> organisation(Configuration configuration, String authorization) {
		if (authorization == null || !authorization.toLowerCase(Locale.ROOT).startsWith(SCHEME)) {
			return Optional.empty();
		}
		String key = authorization.substring(SCHEME.length()).strip();
		byte[] digest = ascii(Digests.sha256(key.getBytes(StandardCharsets.UTF_8)));
		Organisation found = index(configuration).organisations().get(new String(digest, StandardCharsets.US_ASCII));
		if (key.isEmpty() || found == null || !MessageDigest.isEqual(digest, ascii(found.keyDigest()))) {
			return Optional.empty();
		}
		return Optional.of(found.id());
	}

	private Index index(Configuration configuration) {
		Index current = this.index;
		if (current.configuration() != configuration) {
			current = Index.of(configuration);
			this.index = current;
		}
		return current;
	}

	private static byte[] ascii(String text) {
		return text.getBytes(StandardCharsets.US_ASCII);
	}

	/**
	 * The organisations of one configuration by the digests of their keys.
	 *
	 * @param configuration the configuration, compared by identity
	 * @param organisations the organisations
	 */
	private record Index(Configuration configuration, Map<String, Organisation> organisations) {

		private static Index of(Configuration configuration) {
			Map<String, Organisation> organisations = new HashMap<>();
			for (Organisation organisation : configuration.organisations().values()) {
				organisations.put(organisation.keyDigest(), organisation);
			}
			return new Index(configuration, organisations);
		}

	}

}
