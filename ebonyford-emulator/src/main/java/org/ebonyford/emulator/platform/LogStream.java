package org.ebonyford.emulator.platform;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * One stream of the log. It is guarded by the lock of the log.
 */
final class LogStream {

	/**
	 * The records that are kept, oldest first.
	 */
	private final Deque<StoredRecord> records = new ArrayDeque<>();

	/**
	 * The reads that wait for a record.
	 */
	private final List<Runnable> waiting = new ArrayList<>();

	/**
	 * The offset that follows the last record.
	 */
	private long end;

	/**
	 * The bytes that were appended in all.
	 */
	private long bytes;

	/**
	 * Appends a record and wakes the reads that wait.
	 * @param time the time of the append in milliseconds since the epoch
	 * @param body the body of the record
	 * @return the offset of the record
	 */
	long append(long time, byte[] body) {
		this.records.addLast(new StoredRecord(this.end, time, body));
		this.end++;
		this.bytes += body.length;
		List<Runnable> woken = List.copyOf(this.waiting);
		this.waiting.clear();
		woken.forEach(Runnable::run);
		return this.end - 1;
	}

	/**
	 * Removes what is not to be kept.
	 * @param retention how long and how many records are kept
	 * @param now the milliseconds since the epoch
	 */
	void retain(LogStandIn.Retention retention, long now) {
		while (!this.records.isEmpty() && (this.records.size() > retention.count()
				|| this.records.peekFirst().time() < now - retention.millis())) {
			this.records.removeFirst();
		}
	}

	/**
	 * Reads records.
	 * @param from the offset of the first record
	 * @param limit the most records
	 * @return the records
	 */
	Slice read(long from, int limit) {
		List<Entry> entries = this.records.stream()
			.filter((stored) -> stored.offset() >= from)
			.limit(limit)
			.map((stored) -> new Entry(stored.offset(), stored.time(),
					Base64.getEncoder().encodeToString(stored.body())))
			.toList();
		long next = entries.isEmpty() ? Math.max(from, first()) : entries.get(entries.size() - 1).offset() + 1;
		return new Slice(first(), Math.min(next, this.end), this.end, entries);
	}

	/**
	 * Has a read answered at the next append or after a while.
	 * @param answer answers the read
	 * @param scheduler keeps the time
	 * @param millis the milliseconds to wait at most
	 */
	void await(Runnable answer, ScheduledExecutorService scheduler, long millis) {
		AtomicBoolean answered = new AtomicBoolean();
		Runnable once = () -> {
			if (answered.compareAndSet(false, true)) {
				scheduler.execute(answer);
			}
		};
		this.waiting.add(once);
		scheduler.schedule(once, millis, TimeUnit.MILLISECONDS);
	}

	/**
	 * Returns the offset of the first record that is kept.
	 * @return the offset, which is the end where none is kept
	 */
	long first() {
		return this.records.isEmpty() ? this.end : this.records.peekFirst().offset();
	}

	/**
	 * Returns the offset that follows the last record.
	 * @return the offset
	 */
	long end() {
		return this.end;
	}

	/**
	 * Returns the bytes that were appended in all.
	 * @return the number of bytes
	 */
	long bytes() {
		return this.bytes;
	}

	/**
	 * A record that is kept.
	 *
	 * @param offset the offset of the record
	 * @param time the time of the append in milliseconds since the epoch
	 * @param body the body of the record
	 */
	private record StoredRecord(long offset, long time, byte[] body) {

	}

	/**
	 * A record as it is read.
	 *
	 * @param offset the offset of the record
	 * @param time the time of the append in milliseconds since the epoch
	 * @param body the body of the record in Base64
	 */
	record Entry(long offset, long time, String body) {

	}

	/**
	 * The answer to a read.
	 *
	 * @param first the offset of the first record that is kept
	 * @param next the offset to read from next
	 * @param end the offset that follows the last record
	 * @param records the records
	 */
	record Slice(long first, long next, long end, List<Entry> records) {

	}

}
