package org.ebonyford.gateway.exchange;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * A complete response of an upstream.
 *
 * @param status the status code
 * @param headers the headers
 * @param body the body
 */
record UpstreamResponse(int status, HttpHeaders headers, byte[] body) {

	/**
	 * The lowest status code that reports a failure of the upstream.
	 */
	private static final int MIN_SERVER_ERROR_STATUS = 500;

	/**
	 * The lowest status code that is no success.
	 */
	private static final int MIN_NON_SUCCESS_STATUS = 300;

	boolean success() {
		return this.status < MIN_NON_SUCCESS_STATUS;
	}

	boolean serverError() {
		return this.status >= MIN_SERVER_ERROR_STATUS;
	}

}
