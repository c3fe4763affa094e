package org.ebonyford.gateway.http;

import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

import org.ebonyford.time.Clock;

/**
 * Calls whose answers are taken as a whole: those to the store and health checks.
 * Connections are kept for the next call; a call that meets a time-out closes its
 * connection, since nothing on it can be trusted any more.
 */
public final class HttpCalls {

	/**
	 * The longest time in milliseconds for making a connection: many times a round trip
	 * within a region.
	 */
	private static final int CONNECT_MILLIS = 400;

	/**
	 * The greatest size in bytes of an answer's head.
	 */
	private static final int GREATEST_HEAD = 8_192;

	/**
	 * The greatest answer in bytes that is taken: a page of the store and its encoding.
	 */
	private static final int GREATEST_ANSWER = 4 << 20;

	/**
	 * The greatest answer in bytes of a status check, of which only the status is used.
	 */
	private static final int GREATEST_STATUS = 16 << 10;

	/**
	 * What a piece of a body counts for at least, in bytes: small pieces cost more time
	 * and memory than they hold.
	 */
	private static final int LEAST_PIECE = 64;

	/**
	 * The greatest number of informational responses before an answer: a sound server
	 * sends one or two.
	 */
	private static final int GREATEST_INFORMATIONAL = 16;

	/**
	 * The maximum time in milliseconds for which a connection is kept idle: several
	 * pauses between regular calls. A connection may go silent without a reset, which a
	 * call notices only by its time-out.
	 */
	static final long MAX_IDLE_MILLIS = 1_000;

	/**
	 * The event loop.
	 */
	private final EventLoop loop;

	/**
	 * The clock.
	 */
	private final Clock clock;

	/**
	 * The idle connections by address, the one idle for longest first.
	 */
	private final Map<InetSocketAddress, Deque<Idle>> idle = new HashMap<>();

	/**
	 * Creates a client without connections.
	 * @param loop the event loop
	 * @param clock the monotonic clock
	 */
	public HttpCalls(EventLoop loop, Clock clock) {
		this.loop = loop;
		this.clock = clock;
	}

	/**
	 * Makes a call.
	 * @param address the address
	 * @param call what is asked
	 * @param timeoutMillis the longest time in milliseconds until the whole answer
	 * @return the answer; fails if there is none in time
	 */
	public CompletableFuture<Answer> call(InetSocketAddress address, Call call, long timeoutMillis) {
		CompletableFuture<Answer> answer = new CompletableFuture<>();
		Channel kept = keptConnection(address);
		if (kept != null) {
			send(kept, address, call, timeoutMillis, answer);
			return answer;
		}
		ChannelFuture connect = new Bootstrap().group(this.loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
			.option(ChannelOption.TCP_NODELAY, true)
			.handler(new Pipeline())
			.connect(address);
		connect.addListener((done) -> {
			if (connect.isSuccess()) {
				send(connect.channel(), address, call, timeoutMillis, answer);
			}
			else {
				answer.completeExceptionally(connect.cause());
			}
		});
		return answer;
	}

	/**
	 * Closes the connections that are idle.
	 */
	public void closeIdle() {
		this.idle.values().forEach((kept) -> kept.forEach((connection) -> connection.channel().close()));
		this.idle.clear();
	}

	private Channel keptConnection(InetSocketAddress address) {
		Deque<Idle> kept = this.idle.getOrDefault(address, new ArrayDeque<>());
		while (!kept.isEmpty() && this.clock.millis() - kept.getFirst().since() > MAX_IDLE_MILLIS) {
			kept.removeFirst().channel().close();
		}
		while (!kept.isEmpty()) {
			Channel channel = kept.removeLast().channel();
			if (channel.isActive()) {
				return channel;
			}
		}
		return null;
	}

	private void keep(InetSocketAddress address, Channel channel) {
		this.idle.computeIfAbsent(address, (key) -> new ArrayDeque<>()).addLast(new Idle(channel, this.clock.millis()));
	}

	private void send(Channel channel, InetSocketAddress address, Call call, long timeoutMillis,
			CompletableFuture<Answer> answer) {
		ScheduledFuture<?> timeout = this.loop.schedule(() -> {
			answer.completeExceptionally(new TimeoutException("No answer within " + timeoutMillis + " ms"));
			channel.close();
		}, timeoutMillis, TimeUnit.MILLISECONDS);
		answer.whenComplete((value, failure) -> timeout.cancel(false));
		channel.pipeline().get(AnswerHandler.class).expect(answer, call.greatestAnswer(), () -> keep(address, channel));
		DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, call.method(), call.uri(),
				Unpooled.wrappedBuffer(call.body()));
		request.headers().set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
		request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
		if (!call.contentType().isEmpty()) {
			request.headers().set(HttpHeaderNames.CONTENT_TYPE, call.contentType());
		}
		channel.writeAndFlush(request);
	}

	/**
	 * A connection that is kept for the next call.
	 *
	 * @param channel the connection
	 * @param since since when it is idle, in milliseconds
	 */
	private record Idle(Channel channel, long since) {
	}

	/**
	 * What is asked.
	 *
	 * @param method the method
	 * @param uri the path and the query
	 * @param contentType the type of the body, empty if there is none
	 * @param body the body
	 * @param greatestAnswer the greatest body of an answer in bytes; a larger one fails
	 */
	public record Call(HttpMethod method, String uri, String contentType, byte[] body, int greatestAnswer) {

		/**
		 * Creates a call.
		 * @param method the method
		 * @param uri the path and the query
		 * @param contentType the type of the body, empty if there is none
		 * @param body the body
		 */
		public Call(HttpMethod method, String uri, String contentType, byte[] body) {
			this(method, uri, contentType, body, GREATEST_ANSWER);
		}

		/**
		 * Creates a status check.
		 * @param uri the path and the query
		 * @return the call
		 */
		public static Call status(String uri) {
			return new Call(HttpMethod.GET, uri, "", new byte[0], GREATEST_STATUS);
		}

		/**
		 * Creates a call without a body.
		 * @param uri the path and the query
		 * @return the call
		 */
		public static Call get(String uri) {
			return new Call(HttpMethod.GET, uri, "", new byte[0]);
		}

	}

	/**
	 * An answer.
	 *
	 * @param status the status code
	 * @param headers the headers
	 * @param body the body
	 */
	public record Answer(int status, HttpHeaders headers, byte[] body) {
	}

	/**
	 * Sets up a connection.
	 */
	private static final class Pipeline extends ChannelInitializer<SocketChannel> {

		@Override
		protected void initChannel(SocketChannel channel) {
			AnswerDecoder decoder = new AnswerDecoder(GREATEST_HEAD);
			AnswerHandler handler = new AnswerHandler(decoder);
			channel.pipeline().addLast(new IdleGuard(handler::idle, () -> {
			})).addLast(decoder).addLast(new HttpRequestEncoder()).addLast(handler);
		}

	}

	/**
	 * Hands the answer on a connection to the call that awaits it. What comes is copied
	 * to the heap at once, since buffers of the connection are taken from a small memory
	 * that all connections share.
	 */
	private static final class AnswerHandler extends SimpleChannelInboundHandler<HttpObject> {

		/**
		 * Decodes the answers.
		 */
		private final AnswerDecoder decoder;

		/**
		 * The answer that is awaited, {@code null} if there is none.
		 */
		private CompletableFuture<Answer> awaited;

		/**
		 * Keeps the connection for the next call.
		 */
		private Runnable keep;

		/**
		 * The greatest body in bytes.
		 */
		private int greatestBody;

		/**
		 * The head of the answer, {@code null} before it came.
		 */
		private HttpResponse head;

		/**
		 * What came of the body.
		 */
		private ByteArrayOutputStream body = new ByteArrayOutputStream();

		/**
		 * The bytes that the pieces of the body count for.
		 */
		private long counted;

		/**
		 * The number of informational responses before the answer.
		 */
		private int informational;

		AnswerHandler(AnswerDecoder decoder) {
			this.decoder = decoder;
		}

		/**
		 * Returns whether no call awaits an answer.
		 * @return {@code true} if bytes that come belong to no call
		 */
		boolean idle() {
			return this.awaited == null;
		}

		void expect(CompletableFuture<Answer> answer, int greatest, Runnable release) {
			this.awaited = answer;
			this.greatestBody = greatest;
			this.keep = release;
			this.head = null;
			this.body = new ByteArrayOutputStream();
			this.counted = 0;
			this.informational = 0;
		}

		@Override
		protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
			if (this.awaited == null || message.decoderResult().isFailure()) {
				abandon(context, "The answer cannot be read");
				return;
			}
			if (message instanceof HttpResponse response) {
				this.head = response;
			}
			if (this.head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
				if (++this.informational > GREATEST_INFORMATIONAL) {
					abandon(context, "The answer does not begin");
				}
				return;
			}
			if (message instanceof HttpContent content) {
				read(context, content);
			}
		}

		private void read(ChannelHandlerContext context, HttpContent content) {
			this.counted += Math.max(content.content().readableBytes(), LEAST_PIECE);
			if (this.counted > this.greatestBody + LEAST_PIECE) {
				abandon(context, "The answer is larger than " + this.greatestBody + " bytes");
				return;
			}
			this.body.writeBytes(ByteBufUtil.getBytes(content.content()));
			if (content instanceof LastHttpContent) {
				end(context);
			}
		}

		private void end(ChannelHandlerContext context) {
			CompletableFuture<Answer> answer = this.awaited;
			this.awaited = null;
			if (HttpUtil.isKeepAlive(this.head) && !answer.isDone() && !this.decoder.hasRemainder()) {
				this.keep.run();
			}
			else {
				context.close();
			}
			answer.complete(new Answer(this.head.status().code(), this.head.headers(), this.body.toByteArray()));
		}

		/**
		 * Gives the answer up. Without its decoder the connection decodes nothing of what
		 * has been read already.
		 * @param context the context
		 * @param reason why
		 */
		private void abandon(ChannelHandlerContext context, String reason) {
			CompletableFuture<Answer> answer = this.awaited;
			this.awaited = null;
			this.body = new ByteArrayOutputStream();
			if (context.pipeline().get(AnswerDecoder.class) != null) {
				context.pipeline().remove(this.decoder);
			}
			context.close();
			fail(answer, new IllegalStateException(reason));
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			fail(this.awaited, new IllegalStateException("The connection was closed without an answer"));
			this.awaited = null;
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			fail(this.awaited, cause);
			this.awaited = null;
			context.close();
		}

		private static void fail(CompletableFuture<Answer> answer, Throwable cause) {
			if (answer != null) {
				answer.completeExceptionally(cause);
			}
		}

	}

}
