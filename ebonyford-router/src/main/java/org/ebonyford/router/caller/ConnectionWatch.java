package org.ebonyford.router.caller;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;

import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.SocketChannelEndPoint;

/**
 * Watches whether a caller closes its connection before its answer starts. The watch must
 * end before the answer starts, since what comes afterwards may be the caller's next
 * request. A byte that comes before is a pipelined request, which the router does not
 * serve.
 */
final class ConnectionWatch {

	/**
	 * The connection, {@code null} if it can't be watched.
	 */
	private final SocketChannel channel;

	/**
	 * The registration, {@code null} before the watch began.
	 */
	private SelectionKey key;

	/**
	 * Whether the watch has ended.
	 */
	private boolean stopped;

	/**
	 * Whether the caller sent something before it had its answer.
	 */
	private boolean pipelined;

	/**
	 * Creates a watch that has not begun. An encrypted connection is not watched.
	 * @param endPoint the connection in the servlet container
	 */
	ConnectionWatch(EndPoint endPoint) {
		this.channel = (endPoint instanceof SocketChannelEndPoint plain) ? plain.getChannel() : null;
	}

	/**
	 * Begins the watch unless it began or ended before.
	 * @param selector what waits for the connection
	 * @param attachment what the registration is about
	 */
	synchronized void begin(Selector selector, Object attachment) {
		if (this.channel == null || this.stopped || this.key != null) {
			return;
		}
		try {
			this.key = this.channel.register(selector, SelectionKey.OP_READ, attachment);
		}
		catch (CancelledKeyException ex) {
			// The last watch of this connection is still being removed.
			this.key = null;
		}
		catch (ClosedChannelException ex) {
			this.stopped = true;
		}
	}

	/**
	 * Ends the watch.
	 * @return whether the connection may be kept for another request
	 */
	synchronized boolean stop() {
		this.stopped = true;
		if (this.key != null) {
			this.key.cancel();
		}
		return !this.pipelined;
	}

	/**
	 * Reads from a connection that has something to read.
	 * @return whether the caller has closed it
	 */
	synchronized boolean isGone() {
		if (this.stopped) {
			return false;
		}
		try {
			int count = this.channel.read(ByteBuffer.allocate(1));
			if (count > 0) {
				this.pipelined = true;
				this.key.cancel();
			}
			return count < 0;
		}
		catch (IOException ex) {
			return true;
		}
	}

}
