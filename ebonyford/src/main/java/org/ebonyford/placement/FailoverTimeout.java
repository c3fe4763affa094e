package org.ebonyford.placement;

/**
 * Decides when a repeatable request fails over to another upstream. The timeouts detect
 * upstreams that hang, crash without a connection reset or are partitioned, and must not
 * mistake an engine in a long prefill for one of them.
 */
public final class FailoverTimeout {

	/**
	 * The factor on the expected time to the first byte of a short request.
	 */
	private static final double SHORT_TIMEOUT_FACTOR = 5;

	/**
	 * The minimum timeout in milliseconds of a short request.
	 */
	private static final long MIN_SHORT_TIMEOUT_MILLIS = 400;

	/**
	 * The factor on the expected time to the first event of a stream.
	 */
	private static final double STREAM_TIMEOUT_FACTOR = 2.5;

	/**
	 * The minimum timeout in milliseconds for the first event of a stream, and the
	 * timeout between its events: callers give up after two seconds.
	 */
	private static final long MIN_STREAM_TIMEOUT_MILLIS = 1_200;

	/**
	 * The factor on the expected time to the first event at an upstream that answers
	 * other requests: the stream may be queued there.
	 */
	private static final double QUEUED_TIMEOUT_FACTOR = 4;

	/**
	 * The minimum timeout in milliseconds at such an upstream, after which the answer
	 * counts as lost: callers do not wait much longer for a first event.
	 */
	private static final long MIN_QUEUED_TIMEOUT_MILLIS = 2_000;

	private FailoverTimeout() {
	}

	/**
	 * Returns whether a short request has timed out.
	 * @param silentMillis the time without a byte of its answer, in milliseconds
	 * @param expectedMillis the expected time to the first byte, in milliseconds
	 * @return {@code true} if another upstream should be tried
	 */
	public static boolean shortRequestTimedOut(long silentMillis, double expectedMillis) {
		return silentMillis > Math.max(SHORT_TIMEOUT_FACTOR * expectedMillis, MIN_SHORT_TIMEOUT_MILLIS);
	}

	/**
	 * Returns whether a stream has timed out.
	 * @param silentMillis the time without an event, in milliseconds
	 * @param expectedMillis the expected time to the first event, in milliseconds
	 * @param started whether the first event has arrived
	 * @param upstreamSilentMillis the time since the upstream last sent anything for any
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
