package org.ebonyford.emulator.load;

import java.util.Optional;

/**
 * What a caller makes of the answer to one request.
 *
 * @param result the judgement
 * @param spec the request
 * @param status the status code, 0 without an answer
 * @param requestId the name that the router gave to the request, empty if it gave none
 * @param outcome what the answer says of whether the request ran, empty if nothing
 * @param reason why the request was refused, or what is wrong with the answer
 * @param retryAfterMillis when a retry can help, if the refusal says so
 * @param startedAt when the request was sent, in milliseconds since the epoch
 * @param firstByteNanos the nanoseconds until the first byte of the body
 * @param totalNanos the nanoseconds until the end of the answer
 * @param cost the tokens or calls that the answer cost
 */
public record Verdict(Result result, CallSpec spec, int status, String requestId, String outcome, String reason,
		Optional<Long> retryAfterMillis, long startedAt, long firstByteNanos, long totalNanos, long cost) {

	/**
	 * Returns whether the answer is the whole answer to the request.
	 * @return {@code true} if it is
	 */
	public boolean completed() {
		return this.result == Result.COMPLETED;
	}

	/**
	 * Returns whether the answer says that the request did not run.
	 * @return {@code true} if it does
	 */
	public boolean saysNotRun() {
		return this.outcome.equals("not-run");
	}

	/**
	 * How an answer is judged.
	 */
	public enum Result {

		/** The answer is the whole answer to the request. */
		COMPLETED,

		/** The request was refused with a well-formed problem. */
		REFUSED,

		/** The connection broke, which the caller sees. */
		BROKEN,

		/** The answer ended early as if it were whole. */
		TRUNCATED,

		/** The answer belongs to another request. */
		CROSSED,

		/** The answer is neither a whole one nor a well-formed problem. */
		MALFORMED;

		/**
		 * Returns whether no caller may ever get such an answer.
		 * @return {@code true} if it breaks a promise
		 */
		public boolean violation() {
			return this == TRUNCATED || this == CROSSED || this == MALFORMED;
		}

	}

}
