package org.ebonyford.gateway.http;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Bounds the connections of a listening socket for peers, balancers or scrapers. Beyond
 * the maximum the connection is closed that has been silent for longest. Nothing is read
 * of a client that does not read its answers.
 */
@ChannelHandler.Sharable
public final class ServerConnections extends ChannelInboundHandlerAdapter {

	/**
	 * The maximum number of connections.
	 */
	private final int maxOpen;

	/**
	 * The open connections, the one that has been silent for longest first.
	 */
	private final Set<Channel> open = new LinkedHashSet<>();

	/**
	 * Creates the bound of a listening socket.
	 * @param maxOpen the maximum number of connections
	 */
	public ServerConnections(int maxOpen) {
		this.maxOpen = maxOpen;
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		this.open.add(context.channel());
		if (this.open.size() > this.maxOpen) {
			Iterator<Channel> silent = this.open.iterator();
			Channel closed = silent.next();
			silent.remove();
			closed.close();
		}
		context.fireChannelActive();
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (this.open.remove(context.channel())) {
			this.open.add(context.channel());
		}
		context.fireChannelRead(message);
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext context) {
		context.channel().config().setAutoRead(context.channel().isWritable());
		context.fireChannelWritabilityChanged();
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.open.remove(context.channel());
		context.fireChannelInactive();
	}

}
