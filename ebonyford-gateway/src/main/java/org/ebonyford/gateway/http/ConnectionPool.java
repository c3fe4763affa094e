package org.ebonyford.gateway.http;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;

import org.ebonyford.placement.ConnectionShare;
import org.ebonyford.time.Clock;

/**
 * The connections to one start of an upstream. Their number is bounded by this router's
 * share of what the upstream accepts.
 */
public final class ConnectionPool {

	/**
	 * The longest time in milliseconds for making a connection: many times a round trip
	 * within a region, and short against the latency targets.
	 */
	private static final int CONNECT_MILLIS = 300;

	/**
	 * The event loop.
	 */
	private final EventLoop loop;

	/**
	 * The clock.
	 */
	private final Clock clock;

	/**
	 * The address of the upstream.
	 */
	private final InetSocketAddress address;

	/**
	 * How many connections there may be at present.
	 */
	private final Supplier<ConnectionShare> share;

	/**
	 * Is told of each connection on which bytes came that belong to no request.
	 */
	private final Runnable strayBytes;

	/**
	 * The idle connections, the one used last at the end.
	 */
	private final Deque<UpstreamConnection> idle = new ArrayDeque<>();

	/**
	 * The number of connections that are open or being made.
	 */
	private int open;

	/**
	 * Whether no connection is kept any more.
	 */
	private boolean closed;

	/**
	 * Creates a pool without connections.
	 * @param loop the event loop
	 * @param clock the clock
	 * @param address the address of the upstream
	 * @param share how many connections there may be at present
	 * @param strayBytes is told of each connection on which bytes came that belong to no
	 * request
	 */
	public ConnectionPool(EventLoop loop, Clock clock, InetSocketAddress address, Supplier<ConnectionShare> share,
			Runnable strayBytes) {
		this.loop = loop;
		this.clock = clock;
		this.address = address;
		this.share = share;
		this.strayBytes = strayBytes;
	}

	/**
	 * Returns whether a request could be given a connection.
	 * @return {@code false} if all connections of this router's share are in use
	 */
	public boolean room() {
		return !this.idle.isEmpty() || this.open < this.share.get().maxOpen();
	}

	/**
	 * Takes a connection, or makes one.
	 * @param cautious whether only a connection that was in use shortly before is taken,
	 * for requests that may not be repeated
	 * @param success takes the connection
	 * @param failure is told why there is none
	 */
	public void acquire(boolean cautious, Consumer<UpstreamConnection> success, Consumer<String> failure) {
		while (!this.idle.isEmpty()) {
			UpstreamConnection connection = this.idle.removeLast();
			if (connection.usable(cautious)) {
				success.accept(connection);
				return;
			}
			connection.close();
		}
		if (this.open >= this.share.get().maxOpen()) {
			failure.accept("all connections are in use");
			return;
		}
		connect(success, failure);
	}

	/**
	 * Closes the idle connections.
	 */
	public void closeIdle() {
		while (!this.idle.isEmpty()) {
			this.idle.removeLast().close();
		}
	}

	/**
	 * Closes idle connections whose time has passed.
	 */
	public void expire() {
		while (!this.idle.isEmpty() && !this.idle.getFirst().usable(false)) {
			this.idle.removeFirst().close();
		}
	}

	/**
	 * Closes the idle connections and keeps none from now on.
	 */
	public void close() {
		this.closed = true;
		closeIdle();
	}

	void released(UpstreamConnection connection) {
		if (this.closed || this.idle.size() >= this.share.get().maxIdle()) {
			connection.close();
			return;
		}
		this.idle.addLast(connection);
	}

	void strayBytes() {
		this.strayBytes.run();
	}

	void closed(UpstreamConnection connection) {
		this.open--;
		this.idle.remove(connection);
	}

	private void connect(Consumer<UpstreamConnection> success, Consumer<String> failure) {
		this.open++;
		UpstreamConnection connection = new UpstreamConnection(this.clock, this);
		ChannelFuture connect = new Bootstrap().group(this.loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
			.option(ChannelOption.TCP_NODELAY, true)
			.handler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel channel) {
					connection.addTo(channel.pipeline());
				}
			})
			.connect(this.address);
		connect.addListener((done) -> {
			if (connect.isSuccess()) {
				success.accept(connection);
			}
			else {
				this.open--;
				failure.accept(String.valueOf(connect.cause().getMessage()));
			}
		});
	}

}
