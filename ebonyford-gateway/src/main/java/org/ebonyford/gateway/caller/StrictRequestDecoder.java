package org.ebonyford.gateway.caller;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;

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

	/**
	 * The greatest size of a head in bytes.
	 */
	private final int headerBytes;

	/**
	 * Whether nothing of the next request has been decoded.
	 */
	private boolean betweenRequests = true;

	StrictRequestDecoder(CallerLimits limits) {
		super(new HttpDecoderConfig().setMaxInitialLineLength(limits.headerBytes())
			.setMaxHeaderSize(limits.headerBytes())
			.setMaxChunkSize(CHUNK_BYTES));
		this.headerBytes = limits.headerBytes();
	}

	/**
	 * Returns whether another decoder has to take over because the limit on heads has
	 * changed. A request that is partly decoded is decoded to its end.
	 * @param limits the limits in force
	 * @return {@code true} if the next request should be decoded under the new limit
	 */
	boolean outdated(CallerLimits limits) {
		return this.betweenRequests && limits.headerBytes() != this.headerBytes;
	}

	@Override
	protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
		int decoded = out.size();
		int readable = buffer.readableBytes();
		super.decode(context, buffer, out);
		boolean ended = out.size() > decoded && out.get(out.size() - 1) instanceof LastHttpContent;
		this.betweenRequests = ended || (this.betweenRequests && buffer.readableBytes() == readable);
	}

	@Override
	protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
		throw new IllegalArgumentException("Both a length and chunks");
	}

}
