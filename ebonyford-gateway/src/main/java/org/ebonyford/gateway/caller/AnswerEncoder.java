package org.ebonyford.gateway.caller;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;

/**
 * Encodes answers, those to {@code HEAD} requests without a body.
 */
final class AnswerEncoder extends HttpResponseEncoder {

	/**
	 * Whether the request that is being answered asks for no body.
	 */
	private boolean headOnly;

	void headOnly(boolean asked) {
		this.headOnly = asked;
	}

	@Override
	protected boolean isContentAlwaysEmpty(HttpResponse response) {
		return this.headOnly || super.isContentAlwaysEmpty(response);
	}

}
