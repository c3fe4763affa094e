package org.ebonyford.gateway.http;

import java.io.IOException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

import org.ebonyford.time.Clock;

/**
 * A connection to an upstream, which carries one request at a time. Bytes that no request
 * awaits close it, as they belong to an answer that came twice or too late. If such an
 * answer comes only when the connection is in use again, it is left out, and the
 * connection is not kept after the answer that follows it. If only a part of such an
 * answer comes, the answer that follows cannot be told from it, and the request fails.
 */
public final class UpstreamConnection extends ChannelInboundHandlerAdapter {

	/**
	 * How long in milliseconds a connection is kept if the upstream does not tell for how
	 * long it keeps it.
	 */
	private static final long UNTOLD_IDLE_MILLIS = 1_500;

	/**
	 * How long in milliseconds before the upstream's time-out a connection is given up,
	 * so that no request crosses its close.
	 */
	private static final long IDLE_MARGIN_MILLIS = 600;

	/**
	 * The greatest size in bytes of an answer's head.
	 */
	private static final int GREATEST_HEAD = 32_768;

	/**
	 * The greatest number of responses before an answer that are left out: a sound
	 * upstream sends one or two informational ones.
	 */
	private static final int GREATEST_LEFT_OUT = 16;

	/**
	 * The greatest number of bytes of their bodies.
	 */
	private static final int GREATEST_BYTES_LEFT_OUT = 1 << 20;

	/**
	 * The time-out in a {@code Keep-Alive} header, in whole seconds.
	 */
	private static final Pattern TIMEOUT = Pattern.compile("timeout=([0-9]{1,6})");

	/**
	 * The clock.
	 */
	private final Clock clock;

	/**
	 * The pool to which the connection belongs.
	 */
	private final ConnectionPool pool;

	/**
	 * Decodes the answers.
	 */
	private final AnswerDecoder decoder = new AnswerDecoder(GREATEST_HEAD);

	/**
	 * The channel.
	 */
	private Channel channel;

	/**
	 * When the connection was made, in milliseconds.
	 */
	private long openedAt;

	/**
	 * Whoever awaits an answer, {@code null} if nobody does.
	 */
	private UpstreamListener listener;

	/**
	 * Whether the last answer was whole and the connection may be kept.
	 */
	private boolean reusable;

	/**
	 * Whether the answer whose head came last may be followed by another.
	 */
	private boolean keepAlive;

	/**
	 * The number of requests that were sent.
	 */
	private int requests;

	/**
	 * Whether an answer of an earlier request came after the request was sent.
	 */
	private boolean spoiled;

	/**
	 * The number of responses before the answer that were left out.
	 */
	private int leftOut;

	/**
	 * The bytes of their bodies.
	 */
	private int bytesLeftOut;

	/**
	 * Whether what comes belongs to a response that is left out.
	 */
	private boolean leavingOut;

	/**
	 * Whether a whole answer waits for the end of the bytes that came with it.
	 */
	private boolean ended;

	/**
	 * Whether the request was written whole.
	 */
	private boolean written;

	/**
	 * For how long the connection may stay idle, in milliseconds.
	 */
	private long idleMillis = UNTOLD_IDLE_MILLIS;

	/**
	 * Since when it is idle, in milliseconds.
	 */
	private long idleSince;

	/**
	 * Whether the connection is in the pool and no request awaits an answer.
	 */
	private boolean idle;

	/**
	 * Whether the pool was told of bytes that belong to no request.
	 */
	private boolean strayTold;

	UpstreamConnection(Clock clock, ConnectionPool pool) {
		this.clock = clock;
		this.pool = pool;
	}

	void addTo(ChannelPipeline pipeline) {
		pipeline.addLast(new IdleGuard(() -> this.idle, this::strayBytes))
			.addLast(this.decoder)
			.addLast(new HttpRequestEncoder())
			.addLast(this);
	}

	private void strayBytes() {
		if (!this.strayTold) {
			this.strayTold = true;
			this.pool.strayBytes();
		}
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		this.openedAt = this.clock.millis();
	}

	/**
	 * Returns when the connection was made.
	 * @return the time in milliseconds
	 */
	public long openedAt() {
		return this.openedAt;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext context) {
		this.channel = context.channel();
	}

	/**
	 * Returns whether the connection has carried no request but the last one.
	 * @return {@code true} if no earlier answer can come on it
	 */
	public boolean first() {
		return this.requests == 1;
	}

	/**
	 * Sends a request.
	 * @param request the request
	 * @param awaiting whoever awaits the answer
	 */
	public void send(FullHttpRequest request, UpstreamListener awaiting) {
		this.listener = awaiting;
		this.idle = false;
		this.decoder.headOnly(request.method().equals(HttpMethod.HEAD));
		this.written = false;
		this.leftOut = 0;
		this.bytesLeftOut = 0;
		this.requests++;
		this.reusable = false;
		this.channel.writeAndFlush(request).addListener((done) -> {
			this.written = done.isSuccess();
			if (!done.isSuccess()) {
				abandon(describe(done.cause()), done.cause() instanceof IOException);
			}
		});
	}

	/**
	 * Closes the connection, by which the upstream learns that nobody awaits its answer.
	 */
	public void close() {
		this.listener = null;
		this.channel.close();
	}

	/**
	 * Stops or resumes reading, so that an upstream is not faster than its caller.
	 * @param reading whether to read
	 */
	public void reading(boolean reading) {
		this.channel.config().setAutoRead(reading);
	}

	boolean usable(boolean cautious) {
		long idle = this.clock.millis() - this.idleSince;
		return this.channel.isActive() && idle < (cautious ? this.idleMillis / 2 : this.idleMillis);
	}

	Channel channel() {
		return this.channel;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		try {
			DecoderResult decoded = ((HttpObject) message).decoderResult();
			if (this.ended) {
				this.keepAlive = false;
				strayBytes();
			}
			else if (this.listener == null) {
				this.channel.close();
			}
			else if (decoded.isFailure()) {
				strayBytes();
				abandon("bytes that are no answer to the request: " + describe(decoded.cause()), false);
			}
			else {
				read(message);
			}
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	private void read(Object message) {
		if (message instanceof HttpResponse response) {
			boolean late = this.requests > 1 && this.listener.foreign(response);
			if (late) {
				this.spoiled = true;
				strayBytes();
			}
			this.leavingOut = late || response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
			this.leftOut += this.leavingOut ? 1 : 0;
		}
		if (!this.leavingOut) {
			readAnswer(message);
			return;
		}
		this.bytesLeftOut += (message instanceof HttpContent content) ? content.content().readableBytes() : 0;
		if (this.leftOut > GREATEST_LEFT_OUT || this.bytesLeftOut > GREATEST_BYTES_LEFT_OUT) {
			abandon("responses without end that are no answer to the request", false);
		}
	}

	private void readAnswer(Object message) {
		if (message instanceof HttpResponse response) {
			this.keepAlive = HttpUtil.isKeepAlive(response);
			Matcher timeout = TIMEOUT.matcher(response.headers().get(HttpHeaderNames.KEEP_ALIVE, ""));
			if (timeout.find()) {
				long told = Long.parseLong(timeout.group(1)) * 1_000;
				this.idleMillis = Math.max(told - IDLE_MARGIN_MILLIS, told / 3);
			}
			this.listener.head(response);
		}
		if (message instanceof HttpContent content && this.listener != null) {
			if (content.content().isReadable()) {
				this.listener.content(content.content());
			}
			if (message instanceof LastHttpContent && this.listener != null) {
				this.ended = true;
			}
		}
	}

	@Override
	public void channelReadComplete(ChannelHandlerContext context) {
		if (this.ended) {
			end();
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		if (this.ended) {
			this.keepAlive = false;
			end();
		}
		abandon("the upstream closed the connection", true);
		this.pool.closed(this);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		this.ended = this.ended && !(cause instanceof IOException);
		abandon(describe(cause), cause instanceof IOException);
	}

	private void end() {
		this.ended = false;
		UpstreamListener awaiting = this.listener;
		this.listener = null;
		boolean open = this.keepAlive && this.channel.isActive();
		if (open && this.decoder.hasRemainder()) {
			this.spoiled = true;
			strayBytes();
		}
		this.reusable = open && this.written && !this.spoiled;
		if (this.reusable) {
			this.idle = true;
			this.channel.config().setAutoRead(true);
			this.idleSince = this.clock.millis();
			this.pool.released(this);
		}
		else {
			this.channel.close();
		}
		if (awaiting != null) {
			awaiting.complete();
		}
	}

	private void abandon(String reason, boolean closed) {
		UpstreamListener awaiting = this.listener;
		this.listener = null;
		this.ended = false;
		if (this.channel != null) {
			this.channel.close();
		}
		if (awaiting != null) {
			awaiting.broken(reason, closed);
		}
	}

	private static String describe(Throwable cause) {
		return (cause.getMessage() != null) ? cause.getMessage() : cause.getClass().getSimpleName();
	}

}
