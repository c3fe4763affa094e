package org.ebonyford.gateway.store;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import io.netty.buffer.Unpooled;
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
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;

import org.ebonyford.gateway.http.ServerConnections;

/**
 * Lets peers read what this gateway has read from the store. Each answer tells its age,
 * so that a peer never takes it for younger than it is.
 */
public final class RelayServer extends ChannelInitializer<SocketChannel> {

	/**
	 * The greatest size of a request in bytes.
	 */
	private static final int GREATEST_REQUEST = 4_096;

	/**
	 * The maximum size of a head in bytes: peers send two short headers.
	 */
	private static final int MAX_HEAD_BYTES = 512;

	/**
	 * The maximum number of connections: all peers of the largest deployment, some of
	 * which have just replaced their connection.
	 */
	private static final int MAX_CONNECTIONS = 400;

	/**
	 * The maximum number of requests of a connection that wait for a record. Peers send
	 * one at a time.
	 */
	private static final int MAX_WAITS = 4;

	/**
	 * The longest time in milliseconds for which a request waits for a record.
	 */
	private static final long LONGEST_WAIT_MILLIS = 5_000;

	/**
	 * The connections of peers.
	 */
	private final ServerConnections connections = new ServerConnections(MAX_CONNECTIONS);

	/**
	 * What is known of a topic, and how old that is.
	 */
	private final Function<StoreTopic, Source> sources;

	/**
	 * Creates a server.
	 * @param sources what is known of a topic
	 */
	public RelayServer(Function<StoreTopic, Source> sources) {
		this.sources = sources;
	}

	static String uri(StoreTopic topic, long from, long waitMillis) {
		return "/relay/" + topic.name().toLowerCase(Locale.ROOT) + "?from=" + from + "&wait=" + waitMillis;
	}

	@Override
	protected void initChannel(SocketChannel channel) {
		channel.pipeline()
			.addLast(this.connections)
			.addLast(new HttpServerCodec(MAX_HEAD_BYTES, MAX_HEAD_BYTES, MAX_HEAD_BYTES))
			.addLast(new HttpObjectAggregator(GREATEST_REQUEST))
			.addLast(new Answers());
	}

	/**
	 * What is known of a topic.
	 */
	public interface Source {

		/**
		 * Returns the records.
		 * @return the cache
		 */
		TopicCache cache();

		/**
		 * Returns how long ago the store was asked for them.
		 * @return the age in milliseconds
		 */
		long ageMillis();

	}

	/**
	 * Answers the requests of a connection.
	 */
	private final class Answers extends SimpleChannelInboundHandler<FullHttpRequest> {

		/**
		 * The number of requests that wait for a record.
		 */
		private int waits;

		@Override
		protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
			QueryStringDecoder uri = new QueryStringDecoder(request.uri());
			Optional<StoreTopic> topic = topic(uri.path());
			long from = number(uri.parameters(), "from");
			if (topic.isEmpty() || !RelayServer.this.sources.apply(topic.get()).cache().reaches(from)) {
				write(context, HttpResponseStatus.NOT_FOUND, new byte[0]);
				return;
			}
			if (++this.waits > MAX_WAITS) {
				context.close();
				return;
			}
			Source source = RelayServer.this.sources.apply(topic.get());
			long wait = Math.min(number(uri.parameters(), "wait"), LONGEST_WAIT_MILLIS);
			CompletableFuture<StoreBatch> records = source.cache().read(from);
			Wait end = new Wait(context, source, from, records, topic.get());
			end.check(wait);
			records.whenComplete((batch, failure) -> {
				this.waits--;
				if (failure == null) {
					answer(context, source, from);
				}
				else {
					write(context, HttpResponseStatus.NOT_FOUND, new byte[0]);
				}
			});
		}

		private void answer(ChannelHandlerContext context, Source source, long from) {
			StoreBatch batch = source.cache().since(from);
			write(context, HttpResponseStatus.OK, RelayCodec.encode(batch.aged(source.ageMillis())));
		}

		private void write(ChannelHandlerContext context, HttpResponseStatus status, byte[] body) {
			DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
					Unpooled.wrappedBuffer(body));
			response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
			context.writeAndFlush(response);
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			context.close();
		}

		private static Optional<StoreTopic> topic(String path) {
			for (StoreTopic topic : StoreTopic.values()) {
				if (path.equals("/relay/" + topic.name().toLowerCase(Locale.ROOT))) {
					return Optional.of(topic);
				}
			}
			return Optional.empty();
		}

		private static long number(Map<String, List<String>> parameters, String name) {
			try {
				return Long.parseLong(parameters.getOrDefault(name, List.of("0")).get(0));
			}
			catch (NumberFormatException ex) {
				return 0;
			}
		}

	}

	/**
	 * A peer's wait for a record. It ends after a time, or earlier once the records are
	 * too old for the peer, which then reads the store itself.
	 *
	 * @param context the connection of the peer
	 * @param source the records and their age
	 * @param from the offset of the record
	 * @param records completes when there is a record
	 * @param topic the topic, which tells whether old records are of no use to the peer
	 */
	private record Wait(ChannelHandlerContext context, Source source, long from, CompletableFuture<StoreBatch> records,
			StoreTopic topic) {

		void check(long remainingMillis) {
			if (this.records.isDone()) {
				return;
			}
			long usableMillis = this.topic.timeBound() ? this.topic.maxRelayedAgeMillis() - this.source.ageMillis()
					: remainingMillis;
			if (remainingMillis <= 0 || usableMillis < 0) {
				this.records.complete(this.source.cache().since(this.from));
				return;
			}
			long stepMillis = Math.min(remainingMillis, usableMillis + 1);
			this.context.executor()
				.schedule(() -> check(remainingMillis - stepMillis), stepMillis, TimeUnit.MILLISECONDS);
		}

	}

}
