package org.ebonyford.gateway.store;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiPredicate;

/**
 * The newest record of each key of a topic, as far as this gateway has read it, from
 * which peers read on. A record that says the same as the one before does not count as
 * new: upstreams repeat their entries all the time.
 */
public final class TopicCache {

	/**
	 * Tells whether two records of a key say the same.
	 */
	private final BiPredicate<StoreRecord, StoreRecord> same;

	/**
	 * The newest record of each key, in the order in which they were read.
	 */
	private final Map<String, Kept> newest = new LinkedHashMap<>();

	/**
	 * Whoever waits for a record.
	 */
	private final List<Waiting> waiting = new ArrayList<>();

	/**
	 * The least offset from which this cache can be read: what was removed before is not
	 * known. Negative before anything was read.
	 */
	private long first = -1;

	/**
	 * The offset after the last record.
	 */
	private long next = -1;

	/**
	 * The era of the store that the records are from.
	 */
	private long era;

	/**
	 * Creates a cache that knows nothing.
	 * @param same tells whether two records of a key say the same
	 */
	public TopicCache(BiPredicate<StoreRecord, StoreRecord> same) {
		this.same = same;
	}

	/**
	 * Takes the newest state of the topic, and forgets what was known. Peers that wait at
	 * an offset before it are told that they cannot be answered, since a removal that
	 * they have not read leaves no record in the new state.
	 * @param batch the newest record of each key
	 */
	public void reset(StoreBatch batch) {
		this.newest.clear();
		batch.records().forEach((record) -> this.newest.put(record.key(), new Kept(record, batch.next() - 1)));
		this.first = batch.next();
		this.next = batch.next();
		if (batch.era() != this.era) {
			this.era = batch.era();
			answerWaiting();
		}
		else {
			failUnreachable();
		}
	}

	private void failUnreachable() {
		List<Waiting> behind = this.waiting.stream().filter((peer) -> !reaches(peer.from())).toList();
		behind.forEach((peer) -> peer.answer()
			.completeExceptionally(new StoreException("Records from " + peer.from() + " on were deleted", true)));
	}

	private void answerWaiting() {
		List<Waiting> told = new ArrayList<>(this.waiting);
		this.waiting.clear();
		told.forEach((peer) -> peer.answer().complete(since(peer.from())));
	}

	/**
	 * Takes the records that follow. A batch that another gateway relayed may leave out
	 * repeated entries and then does not tell the offsets of its records: they count as
	 * the last ones, so that no peer takes them for read.
	 * @param batch the records
	 */
	public void add(StoreBatch batch) {
		boolean changed = false;
		boolean whole = batch.records().size() == batch.next() - this.next;
		long offset = whole ? this.next : batch.next() - 1;
		for (StoreRecord record : batch.records()) {
			Kept before = this.newest.get(record.key());
			boolean repeated = before != null && this.same.test(before.record(), record);
			if (!repeated || !whole) {
				this.newest.remove(record.key());
				this.newest.put(record.key(), new Kept(record, offset));
			}
			changed = changed || !repeated;
			offset += whole ? 1 : 0;
		}
		this.next = batch.next();
		if (changed) {
			answerWaiting();
		}
	}

	/**
	 * Returns whether records can be read from an offset.
	 * @param from the offset
	 * @return {@code false} if records before may be missing
	 */
	public boolean reaches(long from) {
		return this.first >= 0 && from >= this.first;
	}

	/**
	 * Returns the newest records from an offset on, at once if there are any and
	 * otherwise as soon as there are.
	 * @param from the offset
	 * @return the records in their order; fails if some are deleted while none has come
	 */
	public CompletableFuture<StoreBatch> read(long from) {
		StoreBatch batch = since(from);
		if (!batch.records().isEmpty()) {
			return CompletableFuture.completedFuture(batch);
		}
		Waiting peer = new Waiting(from, new CompletableFuture<>());
		this.waiting.add(peer);
		return peer.answer().whenComplete((read, failure) -> this.waiting.remove(peer));
	}

	/**
	 * Returns the newest records from an offset on.
	 * @param from the offset
	 * @return the records in their order, and the offset after the last
	 */
	public StoreBatch since(long from) {
		List<StoreRecord> records = this.newest.values()
			.stream()
			.filter((kept) -> kept.offset() >= from)
			.sorted(Comparator.comparingLong(Kept::offset))
			.map(Kept::record)
			.toList();
		return new StoreBatch(records, Math.max(this.next, from)).ofEra(this.era);
	}

	/**
	 * A record and its offset.
	 *
	 * @param record the record
	 * @param offset the offset
	 */
	private record Kept(StoreRecord record, long offset) {
	}

	/**
	 * A peer that waits for a record.
	 *
	 * @param from the offset of the record
	 * @param answer completes when there is one
	 */
	private record Waiting(long from, CompletableFuture<StoreBatch> answer) {
	}

}
