package org.ebonyford.gateway.caller;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A request that was read whole.
 *
 * @param method the method
 * @param uri the path and the query as the caller wrote them
 * @param headers the headers
 * @param body the body
 */
public record CallerRequest(HttpMethod method, String uri, HttpHeaders headers, byte[] body) {

	/**
	 * Returns the path.
	 * @return the path without the query
	 */
	public String path() {
		int query = this.uri.indexOf('?');
		return (query < 0) ? this.uri : this.uri.substring(0, query);
	}

}
