package org.ebonyford.router.caller;

/**
 * The bounds on what callers may ask of one router.
 *
 * @param maxBodyBytes the bytes that the body of one request may have
 * @param maxHeldBytes the bytes that the bodies of all held requests may have together
 * @param maxHeaderBytes the bytes that the names and values of a request's headers may
 * have together
 * @param maxHeaderCount the headers that a request may have
 * @param defaultTimeoutMillis the milliseconds that a caller waits who does not say how
 * long
 * @param maxTimeoutMillis the milliseconds that a caller waits at most
 * @param maxHeldRequests the requests that the router holds at a time
 * @param slowReaderMillis the milliseconds after which a caller is cut off that reads
 * nothing while bytes wait for it
 * @param streamBufferBytes the bytes of an answer that wait for a slow caller at most
 * before its upstream is slowed down
 * @param sweepMillis the milliseconds between two searches for callers that left or read
 * too slowly
 */
public record CallerSettings(int maxBodyBytes, long maxHeldBytes, int maxHeaderBytes, int maxHeaderCount,
		long defaultTimeoutMillis, long maxTimeoutMillis, int maxHeldRequests, long slowReaderMillis,
		int streamBufferBytes, long sweepMillis) {

	/**
	 * The number of bytes in a kibibyte.
	 */
	private static final int KIB = 1024;

	/**
	 * Creates settings.
	 * @throws IllegalArgumentException if a bound is less than 1 or the default timeout
	 * is above the maximum
	 */
	public CallerSettings {
		requirePositive("maxBodyBytes", maxBodyBytes);
		requirePositive("maxHeldBytes", maxHeldBytes);
		requirePositive("maxHeaderBytes", maxHeaderBytes);
		requirePositive("maxHeaderCount", maxHeaderCount);
		requirePositive("defaultTimeoutMillis", defaultTimeoutMillis);
		requirePositive("maxHeldRequests", maxHeldRequests);
		requirePositive("slowReaderMillis", slowReaderMillis);
		requirePositive("streamBufferBytes", streamBufferBytes);
		requirePositive("sweepMillis", sweepMillis);
		if (maxTimeoutMillis < defaultTimeoutMillis) {
			throw new IllegalArgumentException("maxTimeoutMillis must not be below defaultTimeoutMillis");
		}
	}

	/**
	 * Returns the settings of a router whose operator sets nothing.
	 * @return the default settings
	 */
	public static CallerSettings defaults() {
		return new CallerSettings(4 * KIB * KIB, 64L * KIB * KIB, 16 * KIB, 64, 30_000, 300_000, 4096, 15_000, 64 * KIB,
				100);
	}

	private static void requirePositive(String name, long value) {
		if (value < 1) {
			throw new IllegalArgumentException(name + " must be at least 1");
		}
	}

}
