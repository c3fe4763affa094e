package org.ebonyford.placement;

/**
 * Decides when a repeatable request is tried at another upstream. It answers upstreams
 * that hang, crash without a reset or are cut off, and must not take an engine that reads
 * a long prompt for one of them.
 */
public final class FailoverTimeout {

	/**
	 * How many times the expected time a short request waits for its first byte.
	 */
	private static final double SHORT_TIMEOUT_FACTOR = 5;

	/**
	 * The least patience in milliseconds with a short request.
	 */
	private static final long MIN_SHORT_TIMEOUT_MILLIS = 400;

	/**
	 * How many times the expected time a stream waits for its first event.
	 */
	private static final double STREAM_TIMEOUT_FACTOR = 2.5;

	/**
	 * The least patience in milliseconds with a stream, also between its events: callers
	 * give up after two seconds.
	 */
	private static final long MIN_STREAM_TIMEOUT_MILLIS = 1_200;

	/**
	 * How many times the expected time a stream waits for its first event at an upstream
	 * that answers other requests: it may be queued there.
	 */
	private static final double QUEUED_TIMEOUT_FACTOR = 4;

	/**
	 * The least time in milliseconds that it waits there, after which its answer counts
	 * as lost: callers do not wait much longer for a first event.
	 */
	private static final long MIN_QUEUED_TIMEOUT_MILLIS = 2_000;

	private FailoverTimeout() {
	}

	/**
	 * Returns whether a short request has waited for too long.
	 * @param silentMillis for how long nothing of its answer has come, in milliseconds
	 * @param expectedMillis when its first byte was expected, in milliseconds
	 * @return {@code true} if another upstream should be tried
	 */
	public static boolean shortRequestTimedOut(long silentMillis, double expectedMillis) {
		return silentMillis > Math.max(SHORT_TIMEOUT_FACTOR * expectedMillis, MIN_SHORT_TIMEOUT_MILLIS);
	}

	/**
	 * Returns whether a stream has waited for too long.
	 * @param silentMillis for how long no event has come, in milliseconds
	 * @param expectedMillis when its first event was expected, in milliseconds
	 * @param started whether an event has come
	 * @param upstreamSilentMillis for how long nothing has come from the upstream for any
	 * request, in milliseconds
	 * @return {@code true} if another upstream should continue it
	 */
	public static boolean streamTimedOut(long silentMillis, double expectedMillis, boolean started,
			long upstreamSilentMillis) {
		if (started) {
			return silentMillis > MIN_STREAM_TIMEOUT_MILLIS;
		}
		boolean hung = upstreamSilentMillis > MIN_STREAM_TIMEOUT_MILLIS;
		double timeoutMillis = hung ? Math.max(MIN_STREAM_TIMEOUT_MILLIS, STREAM_TIMEOUT_FACTOR * expectedMillis)
				: Math.max(MIN_QUEUED_TIMEOUT_MILLIS, QUEUED_TIMEOUT_FACTOR * expectedMillis);
		return silentMillis > timeoutMillis;
	}

}
