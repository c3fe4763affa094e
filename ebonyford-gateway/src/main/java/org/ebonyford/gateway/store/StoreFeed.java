package org.ebonyford.gateway.store;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;

import io.netty.util.concurrent.EventExecutor;

import org.ebonyford.freshness.Freshness;

/**
 * Follows a topic of the store: reads its newest state, then each record after it, and
 * begins anew when the store has forgotten records in between. When the store has come
 * back from an older copy, the state is read twice: at once, and after what the copy
 * lacks was written again.
 */
public final class StoreFeed implements RelayServer.Source {

	/**
	 * The pause in milliseconds after the first call that failed; it doubles with each
	 * further one.
	 */
	private static final long FIRST_PAUSE_MILLIS = 50;

	/**
	 * The longest pause in milliseconds between calls that fail: short against the bound
	 * within which a change of the configuration has to be in force.
	 */
	private static final long LONGEST_PAUSE_MILLIS = 900;

	/**
	 * How long in milliseconds the operator and the upstreams may take to write again
	 * what a copy lacks: over twice the time within which upstreams renew their entries.
	 */
	private static final long REWRITE_MILLIS = 5_000;

	/**
	 * The event loop.
	 */
	private final EventExecutor loop;

	/**
	 * The store.
	 */
	private final MetadataStore store;

	/**
	 * How the topic is followed.
	 */
	private final Plan plan;

	/**
	 * Whoever is told of records.
	 */
	private final Listener listener;

	/**
	 * The age of what was read.
	 */
	private final Freshness freshness;

	/**
	 * What was read, for peers.
	 */
	private final TopicCache cache;

	/**
	 * The offset of the next record, negative before the newest state was read.
	 */
	private long next = -1;

	/**
	 * The era of the store that {@link #next} belongs to, negative before anything was
	 * read.
	 */
	private long era = -1;

	/**
	 * The pause after the next call that fails, in milliseconds.
	 */
	private long pause = FIRST_PAUSE_MILLIS;

	/**
	 * The number of the latest call, so that answers to earlier ones are recognised.
	 */
	private int call;

	/**
	 * Whether the feed has ended.
	 */
	private boolean closed;

	/**
	 * Creates a feed.
	 * @param loop the event loop
	 * @param store the store
	 * @param plan how the topic is followed
	 * @param freshness the age of what was read, kept by this feed
	 * @param cache keeps what was read for peers
	 * @param listener whoever is told of records
	 */
	public StoreFeed(EventExecutor loop, MetadataStore store, Plan plan, Freshness freshness, TopicCache cache,
			Listener listener) {
		this.loop = loop;
		this.store = store;
		this.plan = plan;
		this.freshness = freshness;
		this.cache = cache;
		this.listener = listener;
	}

	/**
	 * Reads at once, whether or not a call is under way. It is used when what was read
	 * before counts as old.
	 */
	public void readNow() {
		read(true);
	}

	private void readOn() {
		read(this.freshness.ageMillis() == Freshness.UNKNOWN_AGE);
	}

	private void read(boolean urgent) {
		if (this.closed) {
			return;
		}
		int current = ++this.call;
		Freshness.ReadStart mark = this.freshness.startRead();
		boolean known = this.next >= 0;
		CompletableFuture<StoreBatch> answer = !known ? this.store.newest(this.plan.topic())
				: urgent ? this.store.readNow(this.plan.topic(), this.next)
						: this.store.read(this.plan.topic(), this.next, this.plan.waitMillis());
		answer.whenComplete((batch, failure) -> {
			if (current == this.call && !this.closed) {
				answered(known, mark, batch, failure);
			}
		});
	}

	@Override
	public TopicCache cache() {
		return this.cache;
	}

	@Override
	public long ageMillis() {
		return this.freshness.ageMillis();
	}

	/**
	 * Ends the feed.
	 */
	public void close() {
		this.closed = true;
	}

	private void answered(boolean known, Freshness.ReadStart mark, StoreBatch batch, Throwable failure) {
		if (failure != null) {
			failed(failure);
			return;
		}
		if (batch.era() < this.era) {
			failed(new StoreException("The answer is from before the store came back from an older copy", false));
			return;
		}
		boolean restored = this.era >= 0 && batch.era() > this.era;
		if (restored && known) {
			this.next = -1;
			readNow();
			return;
		}
		this.era = batch.era();
		this.pause = FIRST_PAUSE_MILLIS;
		this.next = batch.next();
		this.freshness.confirmRead(mark, batch.ageMillis());
		this.listener.answered();
		try {
			hand(batch, known, restored);
		}
		finally {
			later(known ? this.plan.pauseMillis() : 0);
		}
	}

	private void hand(StoreBatch batch, boolean known, boolean restored) {
		if (known) {
			this.cache.add(batch);
			batch.records().forEach(this.listener::record);
		}
		else if (restored) {
			this.cache.reset(batch);
			this.loop.schedule(this::readNewest, REWRITE_MILLIS, TimeUnit.MILLISECONDS);
			this.listener.restored(batch);
		}
		else {
			this.cache.reset(batch);
			this.listener.newest(batch);
		}
	}

	private void readNewest() {
		this.next = -1;
		readNow();
	}

	private void failed(Throwable failure) {
		Throwable cause = (failure instanceof CompletionException) ? failure.getCause() : failure;
		if (cause instanceof StoreException exception && exception.forgotten()) {
			this.listener.forgotten(this.next);
			this.next = -1;
			readNow();
			return;
		}
		this.listener.failed(cause);
		later(this.pause);
		this.pause = Math.min(this.pause * 2, LONGEST_PAUSE_MILLIS);
	}

	private void later(long millis) {
		int current = this.call;
		this.loop.schedule(() -> {
			if (current == this.call) {
				readOn();
			}
		}, millis, TimeUnit.MILLISECONDS);
	}

	/**
	 * How a topic is followed.
	 *
	 * @param topic the topic
	 * @param waitMillis how long the store may wait for a record, in milliseconds
	 * @param pauseMillis the pause between two reads, in milliseconds
	 */
	public record Plan(StoreTopic topic, long waitMillis, long pauseMillis) {
	}

	/**
	 * Is told of what a feed reads.
	 */
	public interface Listener {

		/**
		 * Takes the newest state of the topic.
		 * @param batch the newest record of each key
		 */
		void newest(StoreBatch batch);

		/**
		 * Takes the state of the topic after the store has come back from an older copy.
		 * What was read before may be newer; {@link #newest} follows.
		 * @param batch the newest record of each key
		 */
		void restored(StoreBatch batch);

		/**
		 * Takes a record.
		 * @param record the record
		 */
		void record(StoreRecord record);

		/**
		 * Notes that the store answered, before the records are handed over.
		 */
		void answered();

		/**
		 * Notes that records were deleted before they were read. {@link #newest} follows.
		 * @param from the offset of the first of them, negative if the newest state could
		 * not be read whole
		 */
		void forgotten(long from);

		/**
		 * Notes that a call failed.
		 * @param cause why
		 */
		void failed(Throwable cause);

	}

}
