package org.ebonyford.lifecycle;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Decides which connections of callers give way when their requests and answers hold more
 * memory together than the process has for them, and whether a request that was read
 * whole still finds room. The load: hundreds of clients whose requests are each within
 * the limits but fill the heap together, such as bodies that stop just short of their
 * end, heads of thousands of lines, and answers that are never read.
 *
 * @param <C> the type of connections
 */
public final class RequestMemory<C> {

	/**
	 * The part of the memory for requests that are being served. The rest is left to
	 * requests that are being read, since served ones are never given up for others.
	 */
	private static final double SERVED_FRACTION = 0.75;

	/**
	 * The part of the memory up to which small requests are served, so that a few large
	 * ones do not keep out all others.
	 */
	private static final double SMALL_SERVED_FRACTION = 0.9;

	/**
	 * The number of bytes up to which a request counts as small. Most requests hold less.
	 */
	private static final int SMALL_BYTES = 65_536;

	/**
	 * The time in milliseconds without progress after which a caller that takes none of
	 * its answer may give way: many round trips, also with retransmissions.
	 */
	private static final long STALLED_MILLIS = 1_000;

	/**
	 * Weight of recent progress against size, in milliseconds: a connection that has just
	 * moved bytes gives way like one of half its size that has not for this time.
	 */
	private static final long PROGRESS_MILLIS = 200;

	/**
	 * The maximum number of bytes that all connections may hold.
	 */
	private final long maxBytes;

	/**
	 * The open connections.
	 */
	private final Set<Holding<C>> holdings = new LinkedHashSet<>();

	/**
	 * The number of bytes that all connections hold.
	 */
	private long heldBytes;

	/**
	 * The number of bytes of requests that are being served, and of their answers.
	 */
	private long servedBytes;

	/**
	 * The number of bytes of connections whose callers have yet to take an answer.
	 */
	private long sendingBytes;

	/**
	 * The number of requests that are being served.
	 */
	private int served;

	/**
	 * Creates the decision for a process without connections.
	 * @param maxBytes the maximum number of bytes that all connections may hold
	 */
	public RequestMemory(long maxBytes) {
		this.maxBytes = maxBytes;
	}

	/**
	 * Adds a connection, which holds nothing yet.
	 * @param connection the connection
	 * @param now the time in milliseconds
	 * @return what it holds from now on
	 */
	public Holding<C> open(C connection, long now) {
		Holding<C> holding = new Holding<>(this, connection, now);
		this.holdings.add(holding);
		return holding;
	}

	/**
	 * Returns the connection that gives way first, if more memory is held than allowed.
	 * @param now the time in milliseconds
	 * @return a connection, empty if no more is held than allowed or none may give way
	 */
	public Optional<C> excess(long now) {
		return (this.heldBytes > this.maxBytes) ? first(now) : Optional.empty();
	}

	/**
	 * Returns the connection that gives way first: the one that holds most and progresses
	 * least. A request that is being served never gives way, unless its caller takes
	 * nothing of the answer.
	 * @param now the time in milliseconds
	 * @return a connection, empty if none may give way
	 */
	public Optional<C> first(long now) {
		Holding<C> worst = null;
		for (Holding<C> holding : this.holdings) {
			if (holding.evictable(now) && (worst == null || holding.weight(now) > worst.weight(now))) {
				worst = holding;
			}
		}
		return Optional.ofNullable(worst).map((holding) -> holding.connection);
	}

	/**
	 * Returns whether there is room to serve a request that was read whole.
	 * @param bytes the number of bytes that it holds while it is served
	 * @return {@code false} if it has to be refused
	 */
	public boolean admits(long bytes) {
		double fraction = (bytes <= SMALL_BYTES) ? SMALL_SERVED_FRACTION : SERVED_FRACTION;
		return this.servedBytes + bytes <= this.maxBytes * fraction;
	}

	/**
	 * Returns how much is held.
	 * @return the number of bytes that all connections hold
	 */
	public long heldBytes() {
		return this.heldBytes;
	}

	/**
	 * Returns how much is held for callers that have yet to take an answer.
	 * @return the number of bytes
	 */
	public long sendingBytes() {
		return this.sendingBytes;
	}

	/**
	 * Returns how many requests are being served or have unsent answers.
	 * @return the number
	 */
	public int served() {
		return this.served;
	}

	/**
	 * What a connection is doing.
	 */
	public enum Phase {

		/** No request is open, or what comes is discarded. */
		IDLE,

		/** A request is being read. */
		READING,

		/** A request was read whole, and its answer is awaited or keeps being taken. */
		SERVED,

		/** Bytes of an answer wait for the caller. */
		SENDING

	}

	/**
	 * What a connection holds.
	 *
	 * @param <C> the type of connections
	 */
	public static final class Holding<C> {

		/**
		 * The sums to which it is added.
		 */
		private final RequestMemory<C> memory;

		/**
		 * The connection.
		 */
		private final C connection;

		/**
		 * What the connection is doing.
		 */
		private Phase phase = Phase.IDLE;

		/**
		 * The number of bytes that it holds.
		 */
		private long bytes;

		/**
		 * A number that changes whenever bytes come or go.
		 */
		private long moved;

		/**
		 * When bytes last came or went, in milliseconds.
		 */
		private long progressedAt;

		/**
		 * Whether the connection has closed.
		 */
		private boolean closed;

		Holding(RequestMemory<C> memory, C connection, long now) {
			this.memory = memory;
			this.connection = connection;
			this.progressedAt = now;
		}

		/**
		 * Records what the connection holds now, unless it has closed.
		 * @param current what it is doing
		 * @param held the number of bytes that it holds
		 * @param progress a number that changes whenever bytes come or go
		 * @param now the time in milliseconds
		 */
		public void update(Phase current, long held, long progress, long now) {
			if (this.closed) {
				return;
			}
			add(-1);
			if (progress != this.moved || current != this.phase) {
				this.moved = progress;
				this.progressedAt = now;
			}
			this.phase = current;
			this.bytes = held;
			add(1);
		}

		/**
		 * Removes the connection, which has closed.
		 */
		public void close() {
			if (!this.closed) {
				this.closed = true;
				this.memory.holdings.remove(this);
				add(-1);
			}
		}

		private void add(int sign) {
			this.memory.heldBytes += sign * this.bytes;
			this.memory.sendingBytes += (this.phase == Phase.SENDING) ? sign * this.bytes : 0;
			if (this.phase == Phase.SERVED || this.phase == Phase.SENDING) {
				this.memory.servedBytes += sign * this.bytes;
				this.memory.served += sign;
			}
		}

		private boolean evictable(long now) {
			return this.phase == Phase.READING
					|| (this.phase == Phase.SENDING && now - this.progressedAt >= STALLED_MILLIS);
		}

		private double weight(long now) {
			return (double) this.bytes * (PROGRESS_MILLIS + now - this.progressedAt);
		}

	}

}
