package org.ebonyford.gateway.peer;

import java.net.InetSocketAddress;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;

import org.ebonyford.gateway.suspect.CrashReport;
import org.ebonyford.total.TotalsMessage;

/**
 * Sends and receives reports, totals and news of crashes as datagrams. A report that is
 * lost is replaced by the next one, and news are in the store as well, so none is
 * repeated.
 */
public final class PeerSocket extends SimpleChannelInboundHandler<DatagramPacket> {

	/**
	 * Takes the reports that arrive.
	 */
	private final Consumer<PeerReport> reportReceiver;

	/**
	 * Takes the messages on totals that arrive.
	 */
	private final Consumer<TotalsMessage> totalsReceiver;

	/**
	 * Takes the news of crashes that arrive.
	 */
	private final Consumer<CrashReport> crashReceiver;

	/**
	 * The socket.
	 */
	private Channel channel;

	/**
	 * Creates an exchange that is not open.
	 * @param reportReceiver takes the reports that arrive
	 * @param totalsReceiver takes the messages on totals that arrive
	 * @param crashReceiver takes the news of crashes that arrive
	 */
	public PeerSocket(Consumer<PeerReport> reportReceiver, Consumer<TotalsMessage> totalsReceiver,
			Consumer<CrashReport> crashReceiver) {
		this.reportReceiver = reportReceiver;
		this.totalsReceiver = totalsReceiver;
		this.crashReceiver = crashReceiver;
	}

	/**
	 * Opens the socket.
	 * @param eventLoops the event loop
	 * @param address the address to listen at
	 * @return the address that was bound
	 */
	public InetSocketAddress open(EventLoopGroup eventLoops, InetSocketAddress address) {
		this.channel = new Bootstrap().group(eventLoops)
			.channel(NioDatagramChannel.class)
			.handler(this)
			.bind(address)
			.syncUninterruptibly()
			.channel();
		return (InetSocketAddress) this.channel.localAddress();
	}

	/**
	 * Sends a report, totals or news.
	 * @param bytes what is encoded
	 * @param peer the address of the peer
	 */
	public void send(byte[] bytes, InetSocketAddress peer) {
		this.channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), peer));
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
		byte[] bytes = ByteBufUtil.getBytes(packet.content());
		PeerReport.decode(bytes)
			.ifPresentOrElse(this.reportReceiver, () -> TotalsCodec.decode(bytes)
				.ifPresentOrElse(this.totalsReceiver, () -> CrashReport.decode(bytes).ifPresent(this.crashReceiver)));
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		// A peer whose port is closed shows as an exception here; its silence tells the
		// rest.
	}

}
