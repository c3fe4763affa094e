package org.ebonyford.gateway.exchange;

import java.util.OptionalLong;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Parses the {@code Retry-After} header of an upstream's response.
 */
final class RetryAfter {

	/**
	 * The number of milliseconds in a second.
	 */
	private static final double MILLIS_PER_SECOND = 1_000;

	private RetryAfter() {
	}

	/**
	 * Returns how long an upstream asks to wait before the next request.
	 * @param headers the headers of its response
	 * @return the time in milliseconds, rounded up; empty if the header is missing or is
	 * not a number of seconds
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
