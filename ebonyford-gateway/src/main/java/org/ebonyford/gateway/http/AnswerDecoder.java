package org.ebonyford.gateway.http;

import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Decodes the answers on a connection. An upstream may begin a second copy of an answer
 * and break it off at any byte; if the next answer follows, both look like one. The
 * decoder tells whether bytes remain that belong to no whole answer, and fails answers
 * whose head holds the status line of another one.
 */
final class AnswerDecoder extends HttpResponseDecoder {

	/**
	 * The size in bytes of the parts in which a body is handed on.
	 */
	private static final int PART_BYTES = 32_768;

	/**
	 * The beginning of a status line inside a reason phrase or the value of a header.
	 */
	private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [0-9]{3}(?: |$)");

	/**
	 * The beginning of a status line inside the name of a header, which ends at the blank
	 * after the version.
	 */
	private static final String VERSION_PREFIX = "HTTP/1.";

	/**
	 * Whether the request asks for the head of the answer only.
	 */
	private boolean headOnly;

	/**
	 * Checks the bytes of heads.
	 */
	private final HeadValidator validator = new HeadValidator();

	/**
	 * Whether the bytes that are decoded belong to a head.
	 */
	private boolean inHead = true;

	/**
	 * Whether all that was decoded belongs to whole answers.
	 */
	private boolean betweenAnswers = true;

	AnswerDecoder(int maxHeadBytes) {
		super(new HttpDecoderConfig().setMaxInitialLineLength(maxHeadBytes)
			.setMaxHeaderSize(maxHeadBytes)
			.setMaxChunkSize(PART_BYTES));
	}

	/**
	 * Tells whether the answer to the next request has no body whatever its head says.
	 * @param only whether the request asks for the head only
	 */
	void headOnly(boolean only) {
		this.headOnly = only;
	}

	/**
	 * Returns whether bytes were received that belong to no whole answer.
	 * @return {@code true} if the connection cannot be used again
	 */
	boolean hasRemainder() {
		return !this.betweenAnswers || actualReadableBytes() > 0;
	}

	@Override
	protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
		int decoded = out.size();
		int readable = buffer.readableBytes();
		int from = buffer.readerIndex();
		super.decode(context, buffer, out);
		if (this.inHead) {
			this.validator.read(buffer, from, buffer.readerIndex() - from);
		}
		for (int index = decoded; index < out.size(); index++) {
			if (out.get(index) instanceof HttpResponse response) {
				checkHead(response);
			}
			this.inHead = out.get(index) instanceof LastHttpContent;
		}
		boolean ended = out.size() > decoded && out.get(out.size() - 1) instanceof LastHttpContent;
		this.betweenAnswers = ended || (this.betweenAnswers && buffer.readableBytes() == readable);
	}

	private void checkHead(HttpResponse response) {
		boolean valid = this.validator.endHead();
		if (response.decoderResult().isFailure()) {
			return;
		}
		if (!valid) {
			response.setDecoderResult(
					DecoderResult.failure(new IllegalStateException("the head of the answer is not one of HTTP")));
		}
		else if (holdsStatusLine(response)) {
			response.setDecoderResult(DecoderResult
				.failure(new IllegalStateException("the head of the answer holds the beginning of another answer")));
		}
	}

	private static boolean holdsStatusLine(HttpResponse response) {
		HttpVersion version = response.protocolVersion();
		if (!version.equals(HttpVersion.HTTP_1_1) && !version.equals(HttpVersion.HTTP_1_0)
				|| STATUS_LINE.matcher(response.status().reasonPhrase()).find()) {
			return true;
		}
		for (Map.Entry<String, String> header : response.headers()) {
			if (header.getKey().contains(VERSION_PREFIX) || STATUS_LINE.matcher(header.getValue()).find()) {
				return true;
			}
		}
		return false;
	}

	@Override
	protected boolean isContentAlwaysEmpty(HttpMessage message) {
		return this.headOnly || super.isContentAlwaysEmpty(message);
	}

}
