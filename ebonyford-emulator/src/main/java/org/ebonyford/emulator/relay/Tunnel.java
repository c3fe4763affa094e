package org.ebonyford.emulator.relay;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.function.LongConsumer;

/**
 * One connection through a relay. It belongs to the thread of its network.
 */
final class Tunnel {

	/**
	 * The bytes that wait in one direction at most.
	 */
	private static final int BUFFER_BYTES = 64 * 1024;

	/**
	 * Between whom the connection is.
	 */
	private final Network.Cut ends;

	/**
	 * The connection to its opener.
	 */
	private final SocketChannel client;

	/**
	 * The connection to the target.
	 */
	private final SocketChannel target;

	/**
	 * The selection of the connection to its opener.
	 */
	private final SelectionKey clientKey;

	/**
	 * The selection of the connection to the target.
	 */
	private final SelectionKey targetKey;

	/**
	 * What goes to the target.
	 */
	private final Direction up;

	/**
	 * What comes from the target.
	 */
	private final Direction down;

	/**
	 * Whether nothing passes.
	 */
	private boolean held;

	Tunnel(Network.Cut ends, SocketChannel client, SocketChannel target, Selector selector, LongConsumer counter)
			throws IOException {
		this.ends = ends;
		this.client = client;
		this.target = target;
		for (SocketChannel channel : new SocketChannel[] { client, target }) {
			channel.configureBlocking(false);
			channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
		}
		this.clientKey = client.register(selector, 0, this);
		this.targetKey = target.register(selector, 0, this);
		this.up = new Direction(client, target, counter);
		this.down = new Direction(target, client, counter);
	}

	/**
	 * Returns between whom the connection is.
	 * @return its source and target
	 */
	Network.Cut ends() {
		return this.ends;
	}

	/**
	 * Returns whether the connection has ended.
	 * @return {@code true} at the end
	 */
	boolean closed() {
		return !this.client.isOpen();
	}

	/**
	 * Lets nothing pass, or lets everything pass again.
	 * @param hold whether nothing is to pass
	 */
	void hold(boolean hold) {
		this.held = hold;
		pump();
	}

	/**
	 * Passes on what can be passed on.
	 */
	void pump() {
		if (closed()) {
			return;
		}
		if (this.held) {
			this.clientKey.interestOps(0);
			this.targetKey.interestOps(0);
			return;
		}
		try {
			this.up.pump();
			this.down.pump();
		}
		catch (IOException ex) {
			reset(this.client);
			reset(this.target);
			return;
		}
		if (this.up.ended() && this.down.ended()) {
			close();
			return;
		}
		this.clientKey.interestOps(this.up.readInterest() | this.down.writeInterest());
		this.targetKey.interestOps(this.down.readInterest() | this.up.writeInterest());
	}

	private void close() {
		try {
			this.client.close();
			this.target.close();
		}
		catch (IOException ex) {
			reset(this.client);
			reset(this.target);
		}
	}

	/**
	 * Closes a connection so that its peer sees a reset.
	 * @param channel the connection, {@code null} if there is none
	 */
	static void reset(SocketChannel channel) {
		if (channel == null) {
			return;
		}
		try (channel) {
			channel.setOption(StandardSocketOptions.SO_LINGER, 0);
		}
		catch (IOException ex) {
			return;
		}
	}

	/**
	 * One direction of a connection.
	 */
	private static final class Direction {

		/**
		 * Where bytes come from.
		 */
		private final SocketChannel from;

		/**
		 * Where bytes go to.
		 */
		private final SocketChannel to;

		/**
		 * Counts the bytes that pass.
		 */
		private final LongConsumer counter;

		/**
		 * The bytes that wait, ready to be filled.
		 */
		private final ByteBuffer waiting = ByteBuffer.allocateDirect(BUFFER_BYTES);

		/**
		 * Whether nothing more comes.
		 */
		private boolean exhausted;

		/**
		 * Whether the other side was told that nothing more comes.
		 */
		private boolean shut;

		private Direction(SocketChannel from, SocketChannel to, LongConsumer counter) {
			this.from = from;
			this.counter = counter;
			this.to = to;
		}

		private void pump() throws IOException {
			if (!this.exhausted && this.waiting.hasRemaining()) {
				this.exhausted = this.from.read(this.waiting) < 0;
			}
			this.waiting.flip();
			if (this.waiting.hasRemaining()) {
				this.counter.accept(this.to.write(this.waiting));
			}
			this.waiting.compact();
			if (this.exhausted && !this.shut && this.waiting.position() == 0) {
				this.to.shutdownOutput();
				this.shut = true;
			}
		}

		private boolean ended() {
			return this.shut;
		}

		private int readInterest() {
			return (!this.exhausted && this.waiting.hasRemaining()) ? SelectionKey.OP_READ : 0;
		}

		private int writeInterest() {
			return (this.waiting.position() > 0) ? SelectionKey.OP_WRITE : 0;
		}

	}

}
