package org.ebonyford.gateway.caller;

import java.util.List;
import java.util.function.BooleanSupplier;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;

import org.ebonyford.catalog.CallerLimits;

/**
 * Decodes requests and refuses those whose length could be read in two ways, by which a
 * request could be hidden in another. While a request is open, what comes after it is
 * kept as it came, since decoded requests hold many times their size.
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

	/**
	 * Counts the header lines of the request that is being read.
	 */
	private final HeaderLines lines;

	/**
	 * Whether a request is open, so that nothing is decoded.
	 */
	private final BooleanSupplier paused;

	StrictRequestDecoder(CallerLimits limits, BooleanSupplier paused) {
		this(limits, paused, HeaderLines.ofHeads(limits.headerBytes()));
	}

	private StrictRequestDecoder(CallerLimits limits, BooleanSupplier paused, HeaderLines lines) {
		super(new HttpDecoderConfig().setMaxInitialLineLength(limits.headerBytes())
			.setMaxHeaderSize(limits.headerBytes())
			.setMaxChunkSize(CHUNK_BYTES)
			.setHeadersFactory(lines)
			.setTrailersFactory(HeaderLines.ofTrailers(limits.headerBytes())));
		this.headerBytes = limits.headerBytes();
		this.paused = paused;
		this.lines = lines;
	}

	/**
	 * Returns what the head holds that is being read or was read last.
	 * @return the number of bytes
	 */
	int headBytes() {
		return this.lines.heldBytes();
	}

	/**
	 * Returns how many bytes wait to be decoded.
	 * @return the number of bytes
	 */
	int waitingBytes() {
		return actualReadableBytes();
	}

	/**
	 * Returns what the bytes hold that wait to be decoded.
	 * @return the number of bytes
	 */
	int bufferBytes() {
		return (actualReadableBytes() > 0) ? internalBuffer().capacity() : 0;
	}

	/**
	 * Decodes what came while a request was open.
	 * @param context the context of this decoder
	 * @throws Exception if a handler throws it
	 */
	void resume(ChannelHandlerContext context) throws Exception {
		if (actualReadableBytes() > 0) {
			channelRead(context, Unpooled.EMPTY_BUFFER);
		}
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
		if (this.paused.getAsBoolean()) {
			return;
		}
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
