package org.ebonyford.gateway.process;

import java.nio.charset.StandardCharsets;
import java.util.function.Function;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

import org.ebonyford.gateway.http.ServerConnections;

/**
 * Serves readiness checks to the balancer and metrics to the scraper.
 */
final class StatusServer extends ChannelInitializer<SocketChannel> {

	/**
	 * Maximum size of a request in bytes.
	 */
	private static final int MAX_REQUEST_BYTES = 8_192;

	/**
	 * Maximum number of connections: many times the number of balancers and scrapers.
	 */
	private static final int MAX_CONNECTIONS = 32;

	/**
	 * The connections.
	 */
	private final ServerConnections connections = new ServerConnections(MAX_CONNECTIONS);

	/**
	 * Returns the page for a path.
	 */
	private final Function<String, Page> pageByPath;

	StatusServer(Function<String, Page> pageByPath) {
		this.pageByPath = pageByPath;
	}

	@Override
	protected void initChannel(SocketChannel channel) {
		channel.pipeline()
			.addLast(this.connections)
			.addLast(new HttpServerCodec())
			.addLast(new HttpObjectAggregator(MAX_REQUEST_BYTES))
			.addLast(new RequestHandler());
	}

	/**
	 * A response.
	 *
	 * @param status the status code
	 * @param text the body
	 */
	record Page(int status, String text) {
	}

	/**
	 * Handles the requests of a connection.
	 */
	private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

		@Override
		protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
			Page page = StatusServer.this.pageByPath.apply(request.uri());
			byte[] body = page.text().getBytes(StandardCharsets.UTF_8);
			DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
					HttpResponseStatus.valueOf(page.status()), Unpooled.wrappedBuffer(body));
			response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
			boolean keep = HttpUtil.isKeepAlive(request);
			HttpUtil.setKeepAlive(response, keep);
			if (keep) {
				context.writeAndFlush(response);
			}
			else {
				context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
			}
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			context.close();
		}

	}

}
