package org.ebonyford.claim;

import java.util.Optional;

import org.ebonyford.request.Request;

/**
 * The work of this process on one request that it claims or has claimed the key of. It is
 * kept until the log shows how the claim ended.
 */
final class Attempt {

	/**
	 * The request.
	 */
	private final Request request;

	/**
	 * The key of the request.
	 */
	private final ClaimKey key;

	/**
	 * The claim as it was last handed to the log.
	 */
	private ClaimRecord claim;

	/**
	 * How far the work has come.
	 */
	private Phase phase = Phase.QUEUED;

	/**
	 * The clock reading in milliseconds since which the claim waits for the log.
	 */
	private long since;

	/**
	 * Whether the claim must be confirmed once more after it was read.
	 */
	private boolean stale;

	/**
	 * The statement that ends the claim, if there is one yet.
	 */
	private Optional<ClaimRecord> end = Optional.empty();

	/**
	 * Creates an attempt.
	 * @param request the request
	 * @param claim the claim
	 * @param since the clock reading in milliseconds
	 */
	Attempt(Request request, ClaimRecord claim, long since) {
		this.request = request;
		this.key = ClaimKey.of(claim);
		this.claim = claim;
		this.since = since;
	}

	/**
	 * Returns the request.
	 * @return the request
	 */
	Request request() {
		return this.request;
	}

	/**
	 * Returns the key of the request.
	 * @return the key
	 */
	ClaimKey key() {
		return this.key;
	}

	/**
	 * Returns the claim as it was last handed to the log.
	 * @return the claim
	 */
	ClaimRecord claim() {
		return this.claim;
	}

	/**
	 * Returns how far the work has come.
	 * @return the phase
	 */
	Phase phase() {
		return this.phase;
	}

	/**
	 * Returns since when the claim waits for the log.
	 * @return the clock reading in milliseconds
	 */
	long since() {
		return this.since;
	}

	/**
	 * Returns whether the claim must be confirmed once more after it was read.
	 * @return {@code true} if the event loop stood still since the claim was appended
	 */
	boolean stale() {
		return this.stale;
	}

	/**
	 * Returns the statement that ends the claim.
	 * @return the statement, or empty before the end
	 */
	Optional<ClaimRecord> end() {
		return this.end;
	}

	/**
	 * Moves on.
	 * @param next the next phase
	 */
	void phase(Phase next) {
		this.phase = next;
	}

	/**
	 * Demands that the claim is confirmed once more after it was read.
	 */
	void expire() {
		this.stale = true;
	}

	/**
	 * Starts anew with a renewed claim.
	 * @param renewed the claim
	 * @param now the clock reading in milliseconds
	 */
	void renew(ClaimRecord renewed, long now) {
		this.claim = renewed;
		this.since = now;
		this.stale = false;
		this.phase = Phase.QUEUED;
	}

	/**
	 * Ends.
	 * @param statement the statement that ends the claim
	 */
	void end(ClaimRecord statement) {
		this.end = Optional.of(statement);
		this.phase = Phase.OVER;
	}

	/**
	 * How far the work on a claim has come.
	 */
	enum Phase {

		/** The claim waits to be appended. */
		QUEUED,

		/** The claim was handed to the log and has not been read back. */
		APPENDED,

		/** The claim holds and nothing was sent. */
		HELD,

		/** The request was handed to be sent, so that it may have run. */
		SENT,

		/** The request is over, and the log does not show it yet. */
		OVER

	}

}
