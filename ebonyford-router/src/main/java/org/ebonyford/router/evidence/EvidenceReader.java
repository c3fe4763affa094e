package org.ebonyford.router.evidence;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.ebonyford.evidence.EvidenceBatch;
import org.ebonyford.router.log.LogClient;
import org.ebonyford.router.log.LogSlice;
import org.ebonyford.router.log.LogStreams;

/**
 * Finds the batches of evidence that cover a period. The offset at which to begin is
 * found by halving, so that a long stream is not read from its beginning.
 */
final class EvidenceReader {

	/**
	 * The records that one read asks for at most.
	 */
	private static final int READ_LIMIT = 500;

	/**
	 * The milliseconds by which a record may come into the log after the period that it
	 * covers, which is how long a router keeps what it cannot append.
	 */
	private static final long LATE_MILLIS = 900_000;

	/**
	 * The client of the log service.
	 */
	private final LogClient client;

	/**
	 * The wall-clock time in milliseconds at which the period begins.
	 */
	private final long from;

	/**
	 * The wall-clock time in milliseconds before which the period ends.
	 */
	private final long to;

	/**
	 * Decodes batches.
	 */
	private final EvidenceCodec codec = new EvidenceCodec();

	/**
	 * The batches found so far.
	 */
	private final List<EvidenceBatch> batches = new ArrayList<>();

	/**
	 * The number of records that are of unknown form.
	 */
	private int unreadable;

	/**
	 * Creates a reader.
	 * @param client the client of the log service
	 * @param from the wall-clock time in milliseconds at which the period begins
	 * @param to the wall-clock time in milliseconds before which the period ends
	 */
	EvidenceReader(LogClient client, long from, long to) {
		this.client = client;
		this.from = from;
		this.to = to;
	}

	/**
	 * Reads the batches.
	 * @return what was found, or a failure if the log could not be read
	 */
	CompletableFuture<Found> read() {
		return slice(0, 1).thenCompose((head) -> {
			Optional<Long> oldest = head.records().stream().map(LogSlice.LogRecord::time).findFirst();
			return search(head.first(), head.end()).thenCompose((offset) -> collect(offset, head.end()))
				.thenApply((done) -> new Found(List.copyOf(this.batches), this.unreadable,
						(head.first() > 0) ? oldest : Optional.empty()));
		});
	}

	private CompletableFuture<LogSlice> slice(long offset, int limit) {
		return this.client.read(LogStreams.EVIDENCE, offset, limit, 0);
	}

	private CompletableFuture<Long> search(long low, long high) {
		if (low >= high) {
			return CompletableFuture.completedFuture(low);
		}
		long middle = low + (high - low) / 2;
		return slice(middle, 1).thenCompose((slice) -> {
			boolean early = slice.records().stream().anyMatch((record) -> record.time() < this.from);
			return early ? search(middle + 1, high) : search(low, middle);
		});
	}

	private CompletableFuture<Void> collect(long offset, long end) {
		if (offset >= end) {
			return CompletableFuture.completedFuture(null);
		}
		return slice(offset, READ_LIMIT).thenCompose((slice) -> {
			slice.records().forEach((record) -> take(record));
			boolean past = slice.records().stream().anyMatch((record) -> record.time() > this.to + LATE_MILLIS);
			boolean stuck = slice.next() <= offset;
			return (past || stuck) ? CompletableFuture.completedFuture(null) : collect(slice.next(), end);
		});
	}

	private void take(LogSlice.LogRecord record) {
		Optional<EvidenceBatch> batch = this.codec.decode(record.body());
		if (batch.isEmpty()) {
			this.unreadable++;
		}
		batch.filter((found) -> found.from() < this.to && found.to() > this.from).ifPresent(this.batches::add);
	}

	/**
	 * What a reader found.
	 *
	 * @param batches the batches that cover a part of the period
	 * @param unreadable the number of records that are of unknown form
	 * @param keptSince the wall-clock time in milliseconds since which the log keeps
	 * records, or empty if it keeps all
	 */
	record Found(List<EvidenceBatch> batches, int unreadable, Optional<Long> keptSince) {

	}

}
