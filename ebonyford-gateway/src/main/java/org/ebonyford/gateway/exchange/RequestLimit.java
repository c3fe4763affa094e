package org.ebonyford.gateway.exchange;

import java.util.OptionalDouble;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Parses the limit on requests in an upstream's response.
 */
final class RequestLimit {

	/**
	 * The least limit that is taken, in requests per second. An upstream that takes none
	 * asks for a wait instead.
	 */
	private static final double MIN_PER_SECOND = 0.1;

	private RequestLimit() {
	}

	/**
	 * Returns the requests per second that an upstream takes from all gateways together.
	 * @param headers the headers of its response
	 * @param name the name of the header
	 * @return the requests per second; empty if the header is missing or is not a number
	 * of requests
	 */
	static OptionalDouble perSecond(HttpHeaders headers, String name) {
		String value = headers.get(name, "").strip();
		try {
			double perSecond = Double.parseDouble(value);
			return (perSecond >= 0 && perSecond < Double.POSITIVE_INFINITY)
					? OptionalDouble.of(Math.max(perSecond, MIN_PER_SECOND)) : OptionalDouble.empty();
		}
		catch (NumberFormatException ex) {
			return OptionalDouble.empty();
		}
	}

}
