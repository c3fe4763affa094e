package org.ebonyford.gateway.http;

import java.util.function.BooleanSupplier;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/**
 * Closes a connection on which bytes arrive while no request awaits them. It comes before
 * the decoder, which tells nothing of a head that is not whole.
 */
final class IdleGuard extends ChannelInboundHandlerAdapter {

	/**
	 * Whether no request awaits an answer.
	 */
	private final BooleanSupplier idle;

	/**
	 * Is told of such bytes.
	 */
	private final Runnable strayBytes;

	IdleGuard(BooleanSupplier idle, Runnable strayBytes) {
		this.idle = idle;
		this.strayBytes = strayBytes;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (this.idle.getAsBoolean()) {
			ReferenceCountUtil.release(message);
			this.strayBytes.run();
			context.close();
			return;
		}
		context.fireChannelRead(message);
	}

}
