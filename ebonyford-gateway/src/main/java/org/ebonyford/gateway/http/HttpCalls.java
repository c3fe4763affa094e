package org.ebonyford.gateway.http;

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
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

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
	 * The greatest answer in bytes that is taken: a page of the store and its encoding.
	 */
	private static final int GREATEST_ANSWER = 4 << 20;

	/**
	 * The event loop.
	 */
	private final EventLoop loop;

	/**
	 * The idle connections by address.
	 */
	private final Map<InetSocketAddress, Deque<Channel>> idle = new HashMap<>();

	/**
	 * Creates a client without connections.
	 * @param loop the event loop
	 */
	public HttpCalls(EventLoop loop) {
		this.loop = loop;
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
		this.idle.values().forEach((channels) -> channels.forEach(Channel::close));
		this.idle.clear();
	}

	private Channel keptConnection(InetSocketAddress address) {
		Deque<Channel> channels = this.idle.getOrDefault(address, new ArrayDeque<>());
		while (!channels.isEmpty()) {
			Channel channel = channels.removeLast();
			if (channel.isActive()) {
				return channel;
			}
		}
		return null;
	}

	private void send(Channel channel, InetSocketAddress address, Call call, long timeoutMillis,
			CompletableFuture<Answer> answer) {
		ScheduledFuture<?> timeout = this.loop.schedule(() -> {
			answer.completeExceptionally(new TimeoutException("No answer within " + timeoutMillis + " ms"));
			channel.close();
		}, timeoutMillis, TimeUnit.MILLISECONDS);
		answer.whenComplete((value, failure) -> timeout.cancel(false));
		channel.pipeline()
			.get(AnswerHandler.class)
			.expect(answer, () -> this.idle.computeIfAbsent(address, (key) -> new ArrayDeque<>()).addLast(channel));
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
	 * What is asked.
	 *
	 * @param method the method
	 * @param uri the path and the query
	 * @param contentType the type of the body, empty if there is none
	 * @param body the body
	 */
	public record Call(HttpMethod method, String uri, String contentType, byte[] body) {

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
	 * @param body the body
	 */
	public record Answer(int status, byte[] body) {
	}

	/**
	 * Sets up a connection.
	 */
	private static final class Pipeline extends ChannelInitializer<SocketChannel> {

		@Override
		protected void initChannel(SocketChannel channel) {
			channel.pipeline()
				.addLast(new HttpClientCodec())
				.addLast(new HttpObjectAggregator(GREATEST_ANSWER))
				.addLast(new AnswerHandler());
		}

	}

	/**
	 * Hands the answer on a connection to the call that awaits it.
	 */
	private static final class AnswerHandler extends SimpleChannelInboundHandler<FullHttpResponse> {

		/**
		 * The answer that is awaited, {@code null} if there is none.
		 */
		private CompletableFuture<Answer> awaited;

		/**
		 * Keeps the connection for the next call.
		 */
		private Runnable keep;

		void expect(CompletableFuture<Answer> answer, Runnable release) {
			this.awaited = answer;
			this.keep = release;
		}

		@Override
		protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
			CompletableFuture<Answer> answer = this.awaited;
			this.awaited = null;
			if (answer == null || response.decoderResult().isFailure()) {
				context.close();
				fail(answer, new IllegalStateException("The answer cannot be read"));
				return;
			}
			if (HttpUtil.isKeepAlive(response) && !answer.isDone()) {
				this.keep.run();
			}
			else {
				context.close();
			}
			answer.complete(new Answer(response.status().code(), ByteBufUtil.getBytes(response.content())));
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
