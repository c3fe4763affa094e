package org.ebonyford.router.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.ebonyford.configuration.Configuration;
import org.ebonyford.configuration.ConfigurationReader;
import org.ebonyford.control.ControlLog;
import org.ebonyford.control.ControlRecord;
import org.ebonyford.control.ControlState;
import org.ebonyford.control.RefreshPolicy;
import org.ebonyford.effect.Outbox;
import org.ebonyford.event.Event;
import org.ebonyford.identity.Incarnation;
import org.ebonyford.identity.VmId;
import org.ebonyford.router.log.LogClient;
import org.ebonyford.router.log.LogException;
import org.ebonyford.router.log.LogSlice;
import org.ebonyford.router.log.LogStreams;

/**
 * The control stream as one command sees it, read and appended to step by step by one
 * thread.
 */
final class ControlStream {

	/**
	 * The records that one read asks for at most.
	 */
	private static final int READ_LIMIT = 100;

	/**
	 * A policy for a command, which never appends a state anew.
	 */
	private static final RefreshPolicy NO_REFRESH = new RefreshPolicy(Long.MAX_VALUE / 4, 1, 1);

	/**
	 * The client of the log service.
	 */
	private final LogClient client;

	/**
	 * How long one call of the log service may take.
	 */
	private final Duration timeout;

	/**
	 * Reads and writes records.
	 */
	private final ControlRecordCodec codec = new ControlRecordCodec();

	/**
	 * Tells which records were accepted.
	 */
	private final ControlLog log = new ControlLog(new Incarnation(new VmId("command"), 0),
			ConfigurationReader.ForIni.INSTANCE, NO_REFRESH, () -> 0);

	/**
	 * The accepted records that were read, by version.
	 */
	private final Map<Long, ControlRecord> accepted = new LinkedHashMap<>();

	/**
	 * The offset of the next record to read.
	 */
	private long position;

	/**
	 * Creates a stream that was not read yet.
	 * @param client the client of the log service
	 * @param timeout how long one call of the log service may take
	 */
	ControlStream(LogClient client, Duration timeout) {
		this.client = client;
		this.timeout = timeout;
	}

	/**
	 * Reads from the lowest offset to the end of the stream.
	 * @throws LogException if the log service cannot be asked
	 */
	void readToEnd() {
		long first;
		long end;
		List<ControlRecord> records = new ArrayList<>();
		do {
			LogSlice slice = slice();
			first = slice.first();
			end = slice.end();
			records.addAll(decode(slice));
		}
		while (this.position < end);
		apply(first, this.position, records);
		current().flatMap((state) -> find(records, state.version()))
			.ifPresent((record) -> this.accepted.put(record.offset(), record));
	}

	/**
	 * Reads records that followed since, one after another, until one has a given name.
	 * @param id the name
	 * @return the record, or empty if the end of the stream has no such record yet
	 * @throws LogException if the log service cannot be asked
	 */
	Optional<ControlRecord> readTo(String id) {
		LogSlice slice;
		do {
			slice = slice();
			for (ControlRecord record : decode(slice)) {
				apply(slice.first(), record.offset() + 1, List.of(record));
				if (record.id().equals(id)) {
					this.position = record.offset() + 1;
					return Optional.of(record);
				}
			}
		}
		while (this.position < slice.end());
		return Optional.empty();
	}

	/**
	 * Appends a record.
	 * @param record the record
	 * @throws LogException if the append failed or its answer was lost
	 */
	void append(ControlRecord record) {
		await(this.client.append(LogStreams.CONTROL, this.codec.encode(record)));
	}

	/**
	 * Returns the state in force.
	 * @return the state, or empty if there is none
	 */
	Optional<ControlState> current() {
		return this.log.current();
	}

	/**
	 * Returns the configuration in force.
	 * @return the configuration, or empty if there is none
	 */
	Optional<Configuration> configuration() {
		return this.log.configuration();
	}

	/**
	 * Returns the version in force.
	 * @return the version, or {@link ControlLog#NO_VERSION} if there is none
	 */
	long version() {
		return this.log.version();
	}

	/**
	 * Returns a record that was accepted.
	 * @param version the version of the record
	 * @return the record, or empty if none of that version was read and accepted
	 */
	Optional<ControlRecord> accepted(long version) {
		return Optional.ofNullable(this.accepted.get(version));
	}

	/**
	 * Returns the record that was accepted on top of a version.
	 * @param base the version
	 * @return the record, or empty if none was read
	 */
	Optional<ControlRecord> successor(long base) {
		return this.accepted.values().stream().filter((record) -> record.basedOn() == base).findFirst();
	}

	private LogSlice slice() {
		LogSlice slice = await(this.client.read(LogStreams.CONTROL, this.position, READ_LIMIT, 0));
		this.position = Math.max(this.position, slice.next());
		return slice;
	}

	private List<ControlRecord> decode(LogSlice slice) {
		return slice.records().stream().map(this.codec::decode).flatMap(Optional::stream).toList();
	}

	private void apply(long first, long next, List<ControlRecord> records) {
		boolean changed = this.log.read(new Event.ControlRead(0, first, next, next, records), new Outbox());
		if (changed) {
			find(records, version()).ifPresent((record) -> this.accepted.put(record.offset(), record));
		}
	}

	private static Optional<ControlRecord> find(List<ControlRecord> records, long version) {
		return records.stream().filter((record) -> record.offset() == version).findFirst();
	}

	private <T> T await(CompletableFuture<T> future) {
		try {
			return future.get(this.timeout.toMillis(), TimeUnit.MILLISECONDS);
		}
		catch (ExecutionException | CompletionException ex) {
			throw asLogException(ex.getCause());
		}
		catch (TimeoutException ex) {
			throw new LogException("The log service did not answer in time", true, ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new LogException("The command was interrupted", true, ex);
		}
	}

	private static LogException asLogException(Throwable cause) {
		return (cause instanceof LogException failure) ? failure
				: new LogException("The log service cannot be asked", true, cause);
	}

}
