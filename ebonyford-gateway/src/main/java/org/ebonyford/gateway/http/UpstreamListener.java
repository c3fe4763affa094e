package org.ebonyford.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Is told of the answer on a connection to an upstream.
 */
public interface UpstreamListener {

	/**
	 * Returns whether a response answers another request than the one that is open.
	 * @param response the head of the response
	 * @return {@code true} if it names another request
	 */
	boolean foreign(HttpResponse response);

	/**
	 * Takes the head of the answer.
	 * @param response the head
	 */
	void head(HttpResponse response);

	/**
	 * Takes a part of the body. The buffer is released after the call.
	 * @param content the part
	 */
	void content(ByteBuf content);

	/**
	 * Notes that the answer is whole.
	 */
	void complete();

	/**
	 * Notes that there will be no whole answer.
	 * @param reason why, in a few words
	 * @param closed whether the upstream closed or reset the connection
	 */
	void broken(String reason, boolean closed);

}
