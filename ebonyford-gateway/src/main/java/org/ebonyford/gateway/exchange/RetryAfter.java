package org.ebonyford.gateway.exchange;

import java.util.OptionalLong;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Reads the {@code Retry-After} header of an upstream.
 */
final class RetryAfter {

	/**
	 * The number of milliseconds in a second.
	 */
	private static final double MILLIS_PER_SECOND = 1_000;

	private RetryAfter() {
	}

	/**
	 * Returns the time that an upstream asks to wait.
	 * @param headers the headers of its answer
	 * @return the time in milliseconds, rounded up; empty if there is none in seconds
	 */
	static OptionalLong millis(HttpHeaders headers) {
		String value = headers.get(HttpHeaderNames.RETRY_AFTER, "").strip();
		try {
			double seconds = Double.parseDouble(value);
			return (seconds >= 0) ? OptionalLong.of((long) Math.ceil(seconds * MILLIS_PER_SECOND))
					: OptionalLong.empty();
		}
		catch (NumberFormatException ex) {
			return OptionalLong.empty();
		}
	}

}
