package org.ebonyford.emulator.truth;

/**
 * One run of one request at one upstream.
 *
 * @param requestId the name of the request, empty if it came without
 * @param key the idempotency key of the request, empty if it came without
 * @param organisation the organisation that the request was marked with, empty if it came
 * without
 * @param startedAt when the run began, in milliseconds since the epoch
 * @param endedAt when the run ended, in milliseconds since the epoch, or 0 while it runs
 * @param cost the tokens or calls that the run has cost so far
 * @param ending how the run ended
 */
public record Run(String requestId, String key, String organisation, long startedAt, long endedAt, long cost,
		Ending ending) {

	/**
	 * Creates a run that has just begun.
	 * @param requestId the name of the request
	 * @param key the idempotency key of the request
	 * @param organisation the organisation that the request was marked with
	 * @param startedAt when the run began, in milliseconds since the epoch
	 * @return the run
	 */
	public static Run begun(String requestId, String key, String organisation, long startedAt) {
		return new Run(requestId, key, organisation, startedAt, 0, 0, Ending.RUNNING);
	}

	/**
	 * Returns a copy that has cost more.
	 * @param more the tokens or calls to add
	 * @return the copy
	 */
	public Run charged(long more) {
		return new Run(this.requestId, this.key, this.organisation, this.startedAt, this.endedAt, this.cost + more,
				this.ending);
	}

	/**
	 * Returns a copy that has ended.
	 * @param ending how it ended
	 * @param at when it ended, in milliseconds since the epoch
	 * @return the copy
	 */
	public Run ended(Ending ending, long at) {
		return new Run(this.requestId, this.key, this.organisation, this.startedAt, at, this.cost, ending);
	}

	/**
	 * How a run ended.
	 */
	public enum Ending {

		/** The run has not ended. */
		RUNNING,

		/** The run came to its end. */
		COMPLETED,

		/** The run was cancelled. */
		CANCELLED,

		/** The run ended with the crash of its upstream. */
		CRASHED

	}

}
