package org.ebonyford.placement;

/**
 * Decides when a repeatable request is tried at another upstream. It answers upstreams
 * that hang, crash without a reset or are cut off, and must not take an engine that reads
 * a long prompt for one of them.
 */
public final class Patience {

	/**
	 * How many times the expected time a short request waits for its first byte.
	 */
	private static final double SHORT_FACTOR = 5;

	/**
	 * The least patience in milliseconds with a short request.
	 */
	private static final long LEAST_MILLIS = 400;

	/**
	 * How many times the expected time a stream waits for its first event.
	 */
	private static final double STREAM_FACTOR = 2.5;

	/**
	 * The least patience in milliseconds with a stream, also between its events: callers
	 * give up after two seconds.
	 */
	private static final long STREAM_MILLIS = 1_200;

	/**
	 * How many times the expected time a stream waits for its first event at an upstream
	 * that answers other requests: it may be queued there.
	 */
	private static final double QUEUED_FACTOR = 4;

	/**
	 * The least time in milliseconds that it waits there, after which its answer counts
	 * as lost: callers do not wait much longer for a first event.
	 */
	private static final long QUEUED_MILLIS = 2_000;

	private Patience() {
	}

	/**
	 * Returns whether a short request has waited for too long.
	 * @param silentMillis for how long nothing of its answer has come, in milliseconds
	 * @param firstMillis when its first byte was expected, in milliseconds
	 * @return {@code true} if another upstream should be tried
	 */
	public static boolean endsFor(long silentMillis, double firstMillis) {
		return silentMillis > Math.max(SHORT_FACTOR * firstMillis, LEAST_MILLIS);
	}

	/**
	 * Returns whether a stream has waited for too long.
	 * @param silentMillis for how long no event has come, in milliseconds
	 * @param firstMillis when its first event was expected, in milliseconds
	 * @param begun whether an event has come
	 * @param upstreamSilentMillis for how long nothing has come from the upstream for any
	 * request, in milliseconds
	 * @return {@code true} if another upstream should continue it
	 */
	public static boolean endsForStream(long silentMillis, double firstMillis, boolean begun,
			long upstreamSilentMillis) {
		if (begun) {
			return silentMillis > STREAM_MILLIS;
		}
		boolean hung = upstreamSilentMillis > STREAM_MILLIS;
		double patience = hung ? Math.max(STREAM_MILLIS, STREAM_FACTOR * firstMillis)
				: Math.max(QUEUED_MILLIS, QUEUED_FACTOR * firstMillis);
		return silentMillis > patience;
	}

}
