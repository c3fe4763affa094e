package org.ebonyford.gateway.exchange;

import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

import org.ebonyford.gateway.wire.HeaderNames;

/**
 * Copies the headers that are passed on: all but those of one connection, and but those
 * that only a gateway may set.
 */
final class ForwardedHeaders {

	/**
	 * The headers that concern one connection only.
	 */
	private static final Set<String> HOP_BY_HOP = Set.of("connection", "keep-alive", "proxy-connection",
			"proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade",
			"content-length", "expect");

	private ForwardedHeaders() {
	}

	/**
	 * Copies the headers of a request.
	 * @param headers the headers of the caller
	 * @param names the names of the headers that a gateway sets
	 * @return the headers for the upstream, without those that a gateway sets
	 */
	static HttpHeaders ofRequest(HttpHeaders headers, HeaderNames names) {
		HttpHeaders copied = copyEndToEnd(headers);
		headers.names().stream().filter(names::reserved).forEach(copied::remove);
		return copied.remove(HttpHeaderNames.AUTHORIZATION);
	}

	/**
	 * Copies the headers of an answer.
	 * @param headers the headers of the upstream
	 * @return the headers for the caller
	 */
	static HttpHeaders ofResponse(HttpHeaders headers) {
		return copyEndToEnd(headers);
	}

	private static HttpHeaders copyEndToEnd(HttpHeaders headers) {
		Set<String> connectionOptions = new HashSet<>();
		headers.getAll(HttpHeaderNames.CONNECTION).forEach((value) -> {
			for (String name : value.split(",")) {
				connectionOptions.add(name.strip().toLowerCase(Locale.ROOT));
			}
		});
		HttpHeaders copied = new DefaultHttpHeaders(false);
		for (Map.Entry<String, String> header : headers) {
			String name = header.getKey().toLowerCase(Locale.ROOT);
			if (!HOP_BY_HOP.contains(name) && !connectionOptions.contains(name)) {
				copied.add(header.getKey(), header.getValue());
			}
		}
		return copied;
	}

}
