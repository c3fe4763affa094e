package org.ebonyford.router.log;

/**
 * How long a client waits for the log service.
 *
 * @param connectMillis the milliseconds for a connection to be made
 * @param appendMillis the milliseconds for an append as a whole
 * @param readMillis the milliseconds for a read as a whole, beyond the time that the
 * service was asked to wait
 */
public record LogTimeouts(long connectMillis, long appendMillis, long readMillis) {

	/**
	 * The timeouts for a service in the same region.
	 */
	public static final LogTimeouts DEFAULT = new LogTimeouts(1_000, 2_000, 2_000);

	/**
	 * Creates timeouts.
	 * @throws IllegalArgumentException if a timeout is not positive
	 */
	public LogTimeouts {
		if (Math.min(connectMillis, Math.min(appendMillis, readMillis)) <= 0) {
			throw new IllegalArgumentException("The timeouts of the log service must be positive");
		}
	}

}
