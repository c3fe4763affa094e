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

import org.ebonyford.gateway.rollout.RolloutMessage;
import org.ebonyford.gateway.suspect.CrashReport;
import org.ebonyford.total.TotalsMessage;

/**
 * A UDP socket that exchanges load reports, totals, crash reports and news on roll-outs
 * with the peers. Lost datagrams are not sent again: the next load report, totals or news
 * replace a lost one, and crash reports are also in the store.
 */
public final class PeerSocket extends SimpleChannelInboundHandler<DatagramPacket> {

	/**
	 * Receives the load reports that arrive.
	 */
	private final Consumer<PeerReport> reportReceiver;

	/**
	 * Receives the totals that arrive.
	 */
	private final Consumer<TotalsMessage> totalsReceiver;

	/**
	 * Receives the crash reports that arrive.
	 */
	private final Consumer<CrashReport> crashReceiver;

	/**
	 * Receives the news on roll-outs that arrive.
	 */
	private final Consumer<RolloutMessage> rolloutReceiver;

	/**
	 * The socket, {@code null} before {@link #open}.
	 */
	private Channel channel;

	/**
	 * Creates a socket that is not open.
	 * @param reportReceiver receives the load reports that arrive
	 * @param totalsReceiver receives the totals that arrive
	 * @param crashReceiver receives the crash reports that arrive
	 * @param rolloutReceiver receives the message on roll-outs that arrive
	 */
	public PeerSocket(Consumer<PeerReport> reportReceiver, Consumer<TotalsMessage> totalsReceiver,
			Consumer<CrashReport> crashReceiver, Consumer<RolloutMessage> rolloutReceiver) {
		this.reportReceiver = reportReceiver;
		this.totalsReceiver = totalsReceiver;
		this.crashReceiver = crashReceiver;
		this.rolloutReceiver = rolloutReceiver;
	}

	/**
	 * Opens the socket.
	 * @param eventLoops the event loops
	 * @param address the address to bind to
	 * @return the bound address
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
	 * Sends a datagram. It is dropped if earlier ones still wait in the process.
	 * @param bytes the encoded report or totals
	 * @param peer the address of the peer
	 */
	public void send(byte[] bytes, InetSocketAddress peer) {
		if (this.channel.isWritable()) {
			this.channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), peer));
		}
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
		byte[] bytes = ByteBufUtil.getBytes(packet.content());
		PeerReport.decode(bytes)
			.ifPresentOrElse(this.reportReceiver,
					() -> TotalsCodec.decode(bytes)
						.ifPresentOrElse(this.totalsReceiver,
								() -> CrashReport.decode(bytes)
									.ifPresentOrElse(this.crashReceiver,
											() -> RolloutMessage.decode(bytes).ifPresent(this.rolloutReceiver))));
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		// Thrown when the port of a peer is closed. Ignored: a silent peer is detected
		// anyway.
	}

}
