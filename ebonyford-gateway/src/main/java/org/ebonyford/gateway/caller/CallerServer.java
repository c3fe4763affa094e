package org.ebonyford.gateway.caller;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import java.util.function.Supplier;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.socket.SocketChannel;
import io.netty.util.ReferenceCountUtil;

import org.ebonyford.catalog.CallerLimits;
import org.ebonyford.lifecycle.ConnectionLimits;
import org.ebonyford.lifecycle.RequestMemory;
import org.ebonyford.time.Clock;

/**
 * The connections of callers.
 */
public final class CallerServer extends ChannelInitializer<SocketChannel> {

	/**
	 * For how long nothing has come before a process that is to end closes a connection,
	 * or takes no more of them, in milliseconds.
	 */
	static final long QUIET_MILLIS = 1_000;

	/**
	 * Interval in milliseconds between reads of connections that are costly to read:
	 * about the time that such a read takes.
	 */
	private static final long PAUSE_MILLIS = 2;

	/**
	 * The clock.
	 */
	private final Clock clock;

	/**
	 * The limits in force.
	 */
	private final Supplier<CallerLimits> limits;

	/**
	 * Takes the requests.
	 */
	private final RequestHandler handler;

	/**
	 * Is told the status of each request that is refused as improper.
	 */
	private final IntConsumer refusals;

	/**
	 * How many connections there may be.
	 */
	private final ConnectionLimits bounds;

	/**
	 * Decides which connections give way when too much memory is held.
	 */
	private final RequestMemory<CallerConnection> memory;

	/**
	 * Is told why a connection gave way or a request was refused.
	 */
	private final Consumer<Shortage> shortages;

	/**
	 * The open connections.
	 */
	private final Set<CallerConnection> connections = new HashSet<>();

	/**
	 * The connections without a request, the one that has been idle for longest first.
	 */
	private final Set<CallerConnection> idle = new LinkedHashSet<>();

	/**
	 * The connections that are costly to read and wait for their turn, the one that has
	 * waited for longest first.
	 */
	private final Set<CallerConnection> paused = new LinkedHashSet<>();

	/**
	 * When the sockets were last looked at, in milliseconds: a caller that had left by
	 * then is known to have.
	 */
	private long lookedAt;

	/**
	 * When a connection was last made, or bytes last came, in milliseconds.
	 */
	private long cameAt;

	/**
	 * Whether a request was handled since the sockets were last looked at.
	 */
	private boolean handled = true;

	/**
	 * Whether connections are kept after an answer. Callers whose connection is not kept
	 * come back to a gateway that is ready.
	 */
	private boolean keeping = true;

	/**
	 * Creates a server without connections.
	 * @param clock the clock
	 * @param limits the limits in force
	 * @param handler takes the requests
	 * @param refusals is told the status of each request that is refused as improper
	 * @param bounds how many connections there may be
	 * @param memoryBytes how many bytes requests and unsent answers may hold
	 * @param shortages is told why a connection gave way or a request was refused
	 */
	public CallerServer(Clock clock, Supplier<CallerLimits> limits, RequestHandler handler, IntConsumer refusals,
			ConnectionLimits bounds, long memoryBytes, Consumer<Shortage> shortages) {
		this.clock = clock;
		this.bounds = bounds;
		this.memory = new RequestMemory<>(memoryBytes);
		this.shortages = shortages;
		this.limits = limits;
		this.handler = handler;
		this.refusals = refusals;
	}

	@Override
	protected void initChannel(SocketChannel channel) {
		this.cameAt = this.clock.millis();
		AnswerEncoder encoder = new AnswerEncoder();
		CallerConnection connection = new CallerConnection(this, this.clock, this.limits, encoder);
		this.connections.add(connection);
		if (this.connections.size() > this.bounds.maxOpen() && !this.idle.isEmpty()) {
			this.idle.iterator().next().closeIdle();
		}
		this.idle.add(connection);
		channel.pipeline()
			.addLast(new Arrivals(connection))
			.addLast(connection.decoder())
			.addLast(encoder)
			.addLast(connection);
		if (this.bounds.exceeded(this.connections.size())) {
			this.shortages.accept(Shortage.DESCRIPTORS);
			this.memory.first(this.clock.millis()).orElse(connection).closeNow();
		}
	}

	/**
	 * Lets connections give way while too much memory is held.
	 */
	void evictExcess() {
		long now = this.clock.millis();
		for (Optional<CallerConnection> first = this.memory.excess(now); first
			.isPresent(); first = this.memory.excess(now)) {
			this.shortages.accept(Shortage.MEMORY);
			first.get().evict();
			first.get().account();
		}
	}

	/**
	 * Lets a connection that is costly to read wait for its turn.
	 * @param connection the connection, which is not being read
	 */
	void pause(CallerConnection connection) {
		if (this.paused.add(connection) && this.paused.size() == 1) {
			connection.schedule(this::readNextPaused, PAUSE_MILLIS);
		}
	}

	private void readNextPaused() {
		CallerConnection next = this.paused.iterator().next();
		this.paused.remove(next);
		next.readOn();
		if (!this.paused.isEmpty()) {
			next.schedule(this::readNextPaused, PAUSE_MILLIS);
		}
	}

	/**
	 * Returns whether a request that was read whole can be served.
	 * @param heldBytes the number of bytes that it holds while it is served
	 * @return {@code false} if it has to be refused
	 */
	boolean admits(long heldBytes) {
		if (!this.memory.admits(heldBytes)) {
			this.shortages.accept(Shortage.MEMORY);
			return false;
		}
		if (!this.bounds.admits(this.connections.size(), this.memory.served())) {
			this.shortages.accept(Shortage.DESCRIPTORS);
			return false;
		}
		return true;
	}

	RequestMemory<CallerConnection> memory() {
		return this.memory;
	}

	/**
	 * Returns how much is held for callers that have yet to take an answer.
	 * @return the number of bytes
	 */
	public long sendingBytes() {
		return this.memory.sendingBytes();
	}

	/**
	 * Returns how much memory requests and unsent answers hold.
	 * @return the number of bytes
	 */
	public long heldBytes() {
		return this.memory.heldBytes();
	}

	/**
	 * Closes connections that exceed a limit on time. It is called a few times a second.
	 * @param closeIdle whether idle connections are closed too
	 */
	public void check(boolean closeIdle) {
		new ArrayList<>(this.connections).forEach((connection) -> connection.check(closeIdle));
		evictExcess();
	}

	/**
	 * Tells all open requests that the process is about to go.
	 */
	public void endOpen() {
		new ArrayList<>(this.connections).forEach(CallerConnection::processEnds);
	}

	/**
	 * Returns for how long a caller may have left without that being known. In a turn of
	 * the event loop all sockets are read before any request is handled.
	 * @return the time in milliseconds
	 */
	public long unnoticedMillis() {
		return this.clock.millis() - this.lookedAt;
	}

	void reading() {
		this.cameAt = this.clock.millis();
		if (this.handled) {
			this.lookedAt = this.clock.millis();
			this.handled = false;
		}
	}

	void handling() {
		this.handled = true;
	}

	/**
	 * Tells whether connections are kept from now on.
	 * @param kept whether callers may send another request after an answer
	 */
	public void keepsConnections(boolean kept) {
		this.keeping = kept;
	}

	/**
	 * Returns the number of connections on which a caller awaits an answer.
	 * @return the number
	 */
	public long busy() {
		return this.connections.stream().filter(CallerConnection::busy).count();
	}

	/**
	 * Returns the number of answers of which bytes still wait to be sent.
	 * @return the number
	 */
	public long unsent() {
		return this.connections.stream().filter(CallerConnection::unsent).count();
	}

	/**
	 * Returns whether callers await answers, or may still send requests: balancers that
	 * have not been told that the process ends go on doing so.
	 * @return {@code false} if nothing is open and nothing has come for some time
	 */
	public boolean awaited() {
		return this.clock.millis() - this.cameAt <= QUIET_MILLIS || busy() > 0;
	}

	/**
	 * Returns the number of connections.
	 * @return the number
	 */
	public int size() {
		return this.connections.size();
	}

	/**
	 * Returns whether a connection is kept after the answer that is about to be sent.
	 * @return {@code false} if the caller should make a new one
	 */
	boolean keeping() {
		return this.keeping && this.idle.size() < this.bounds.maxIdle();
	}

	void idle(CallerConnection connection) {
		this.idle.add(connection);
	}

	void busy(CallerConnection connection) {
		this.idle.remove(connection);
	}

	RequestHandler handler() {
		return this.handler;
	}

	void refused(int status) {
		this.refusals.accept(status);
	}

	void closed(CallerConnection connection) {
		this.connections.remove(connection);
		this.idle.remove(connection);
	}

	/**
	 * What there is too little of.
	 */
	public enum Shortage {

		/** Requests and unsent answers hold too much memory. */
		MEMORY,

		/** Too many connections are open. */
		DESCRIPTORS

	}

	/**
	 * Notes that bytes arrived, whether or not they make up a request.
	 */
	private static final class Arrivals extends ChannelInboundHandlerAdapter {

		/**
		 * The connection that is told.
		 */
		private final CallerConnection connection;

		Arrivals(CallerConnection connection) {
			this.connection = connection;
		}

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			if (this.connection.closing()) {
				ReferenceCountUtil.release(message);
				return;
			}
			ByteBuf bytes = compact((ByteBuf) message);
			this.connection.server().reading();
			this.connection.bytes(bytes.readableBytes());
			context.fireChannelRead(bytes);
			this.connection.limitReading();
			this.connection.account();
			this.connection.server().evictExcess();
		}

		/**
		 * Copies bytes to an array of their size. A buffer of a read is much larger than
		 * a part of a head or a chunk that stays in it, and is taken from the direct
		 * memory, which is small.
		 * @param read the buffer of the read, which is released
		 * @return the bytes
		 */
		private static ByteBuf compact(ByteBuf read) {
			byte[] bytes = ByteBufUtil.getBytes(read);
			read.release();
			return Unpooled.wrappedBuffer(bytes);
		}

	}

}
