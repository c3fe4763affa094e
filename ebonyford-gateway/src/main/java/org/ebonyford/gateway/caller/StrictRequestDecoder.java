package org.ebonyford.gateway.caller;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

import org.ebonyford.catalog.CallerLimits;

/**
 * Decodes requests and refuses those whose length could be read in two ways, by which a
 * request could be hidden in another.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

	/**
	 * The size in bytes of the parts in which a body is handed on.
	 */
	private static final int CHUNK_BYTES = 16_384;

	StrictRequestDecoder(CallerLimits limits) {
		super(new HttpDecoderConfig().setMaxInitialLineLength(limits.headerBytes())
			.setMaxHeaderSize(limits.headerBytes())
			.setMaxChunkSize(CHUNK_BYTES));
	}

	@Override
	protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
		throw new IllegalArgumentException("Both a length and chunks");
	}

}
