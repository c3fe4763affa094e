package org.ebonyford.claim;

import java.util.Objects;

import org.ebonyford.identity.IdempotencyKey;
import org.ebonyford.identity.OrganisationId;

/**
 * An idempotency key together with the organisation that chose it, so that organisations
 * cannot touch each other's keys.
 *
 * @param organisation the organisation
 * @param key the key
 */
public record ClaimKey(OrganisationId organisation, IdempotencyKey key) {

	/**
	 * Creates a scoped key.
	 * @throws NullPointerException if an argument is {@code null}
	 */
	public ClaimKey {
		Objects.requireNonNull(organisation, "organisation");
		Objects.requireNonNull(key, "key");
	}

	/**
	 * Returns the scoped key that a statement is about.
	 * @param record the statement
	 * @return the scoped key
	 */
	public static ClaimKey of(ClaimRecord record) {
		return new ClaimKey(record.organisation(), record.key());
	}

}
