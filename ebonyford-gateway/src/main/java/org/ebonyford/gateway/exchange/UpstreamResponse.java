package org.ebonyford.gateway.exchange;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * A whole answer of an upstream.
 *
 * @param status the status code
 * @param headers the headers
 * @param body the body
 */
record UpstreamResponse(int status, HttpHeaders headers, byte[] body) {

	/**
	 * The least status code of a failure of the upstream.
	 */
	private static final int MIN_SERVER_ERROR_STATUS = 500;

	boolean serverError() {
		return this.status >= MIN_SERVER_ERROR_STATUS;
	}

}
