package org.ebonyford.claim;

import java.util.Objects;
import java.util.Optional;

import org.ebonyford.identity.Fingerprint;
import org.ebonyford.identity.IdempotencyKey;
import org.ebonyford.identity.Incarnation;
import org.ebonyford.identity.OrganisationId;
import org.ebonyford.request.StoredAnswer;

/**
 * One statement about an idempotency key in the log.
 *
 * @param kind what is stated
 * @param claimId a name of the claim, unique among all claims
 * @param organisation the organisation that the key belongs to
 * @param key the idempotency key
 * @param fingerprint the digest of the request that came with the key
 * @param holder the process that made the claim
 * @param createdAt the wall-clock time of the claim in milliseconds since the epoch
 * @param answer the answer of a request that ran, if it is kept
 */
public record ClaimRecord(Kind kind, String claimId, OrganisationId organisation, IdempotencyKey key,
		Fingerprint fingerprint, Incarnation holder, long createdAt, Optional<StoredAnswer> answer) {

	/**
	 * Creates a statement.
	 * @throws NullPointerException if an argument is {@code null}
	 */
	public ClaimRecord {
		Objects.requireNonNull(kind, "kind");
		Objects.requireNonNull(claimId, "claimId");
		Objects.requireNonNull(answer, "answer");
	}

	/**
	 * Creates another statement about the same claim.
	 * @param statement what is stated
	 * @param kept the answer to keep, if there is one
	 * @return the statement
	 */
	public ClaimRecord ended(Kind statement, Optional<StoredAnswer> kept) {
		return new ClaimRecord(statement, this.claimId, this.organisation, this.key, this.fingerprint, this.holder,
				this.createdAt, kept);
	}

	/**
	 * Creates the same claim anew, to have its place in the log confirmed.
	 * @param time the wall-clock time in milliseconds since the epoch
	 * @return the claim
	 */
	public ClaimRecord renewed(long time) {
		return new ClaimRecord(Kind.CLAIM, this.claimId, this.organisation, this.key, this.fingerprint, this.holder,
				time, Optional.empty());
	}

	/**
	 * What a record states.
	 */
	public enum Kind {

		/** The holder asks for the key. */
		CLAIM,

		/** The holder gives the key back, and nothing was sent. */
		RELEASE,

		/** The request ran. */
		RAN,

		/** The request may have run, and nobody can say whether it did. */
		UNKNOWN

	}

}
