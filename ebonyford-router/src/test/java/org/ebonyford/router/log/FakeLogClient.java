package org.ebonyford.router.log;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * A log service in memory whose answers can be lost and whose appends can be raced.
 */
public final class FakeLogClient implements LogClient {

	/**
	 * The records that were appended.
	 */
	private final List<LogSlice.LogRecord> records = new ArrayList<>();

	/**
	 * What befalls the next appends.
	 */
	private final Deque<Fate> fates = new ArrayDeque<>();

	/**
	 * The records that are taken later.
	 */
	private final Deque<byte[]> late = new ArrayDeque<>();

	/**
	 * Runs before each append, at which another operator may append too.
	 */
	private Runnable race = () -> {
	};

	/**
	 * Whether reads fail.
	 */
	private boolean unreadable;

	@Override
	public CompletableFuture<Long> append(String stream, byte[] body) {
		this.race.run();
		return switch (this.fates.isEmpty() ? Fate.TAKEN : this.fates.poll()) {
			case TAKEN -> CompletableFuture.completedFuture(take(body));
			case ANSWER_LOST -> {
				take(body);
				yield CompletableFuture.failedFuture(new LogException("The answer was lost", true, null));
			}
			case LOST -> CompletableFuture.failedFuture(new LogException("The answer was lost", true, null));
			case LATE -> {
				this.late.add(body);
				yield CompletableFuture.failedFuture(new LogException("The answer was lost", true, null));
			}
			case REFUSED -> CompletableFuture.failedFuture(new LogException("The log is down", false, null));
		};
	}

	@Override
	public CompletableFuture<LogSlice> read(String stream, long from, int limit, long waitMillis) {
		if (this.unreadable) {
			return CompletableFuture.failedFuture(new LogException("The log is down", false, null));
		}
		int next = (int) Math.min(this.records.size(), from + limit);
		return CompletableFuture
			.completedFuture(new LogSlice(0, next, this.records.size(), this.records.subList((int) from, next)));
	}

	/**
	 * Appends a record, whatever befalls other appends.
	 * @param body the body of the record
	 * @return the offset of the record
	 */
	public long take(byte[] body) {
		this.records.add(new LogSlice.LogRecord(this.records.size(), 0, body));
		return this.records.size() - 1;
	}

	/**
	 * Sets what befalls the next appends.
	 * @param next the fates in order
	 */
	public void befall(Fate... next) {
		this.fates.addAll(List.of(next));
	}

	/**
	 * Sets what runs before each append.
	 * @param action the action
	 */
	public void race(Runnable action) {
		this.race = action;
	}

	/**
	 * Takes the records that were to be taken later.
	 */
	public void takeLate() {
		while (!this.late.isEmpty()) {
			take(this.late.poll());
		}
	}

	/**
	 * Makes reads fail.
	 */
	public void failReads() {
		this.unreadable = true;
	}

	/**
	 * Returns the number of records.
	 * @return the number
	 */
	public int size() {
		return this.records.size();
	}

	/**
	 * What befalls an append.
	 */
	public enum Fate {

		/** The record is taken. */
		TAKEN,

		/** The record is taken, but the answer is lost. */
		ANSWER_LOST,

		/** The record and the answer are lost. */
		LOST,

		/** The answer is lost, and the record is taken later. */
		LATE,

		/** The record is refused. */
		REFUSED

	}

}
