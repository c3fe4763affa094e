package org.ebonyford.router.log;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import org.ebonyford.claim.ClaimRecord;
import org.ebonyford.control.ControlRecord;
import org.ebonyford.event.Event;
import org.ebonyford.router.EventSink;
import org.ebonyford.time.Clock;

/**
 * Follows a stream of the log service from its lowest offset and passes on all that it
 * reads as events, one read after another. Reading goes on through outages.
 */
public final class LogTailer implements AutoCloseable {

	/**
	 * The records that one read asks for at most.
	 */
	private static final int READ_LIMIT = 500;

	/**
	 * The milliseconds that the service may hold a read back until there is a record.
	 */
	private static final long WAIT_MILLIS = 2_000;

	/**
	 * The milliseconds between a failed read and the next one at first.
	 */
	private static final long MIN_BACKOFF_MILLIS = 50;

	/**
	 * The milliseconds between a failed read and the next one at most.
	 */
	private static final long MAX_BACKOFF_MILLIS = 1_000;

	/**
	 * The client of the log service.
	 */
	private final LogClient client;

	/**
	 * The name of the stream.
	 */
	private final String stream;

	/**
	 * Makes an event of what was read.
	 */
	private final Translation translation;

	/**
	 * Takes the events.
	 */
	private final EventSink sink;

	/**
	 * Tells when a read ended.
	 */
	private final Clock clock;

	/**
	 * Runs the reads, one after another.
	 */
	private final ScheduledExecutorService executor;

	/**
	 * The offset of the next record to read.
	 */
	private long position;

	/**
	 * The milliseconds to wait after the next failed read.
	 */
	private long backoff = MIN_BACKOFF_MILLIS;

	/**
	 * Whether this tailer was closed.
	 */
	private volatile boolean closed;

	private LogTailer(LogClient client, String stream, Translation translation, EventSink sink, Clock clock,
			ScheduledExecutorService executor) {
		this.client = client;
		this.stream = stream;
		this.translation = translation;
		this.sink = sink;
		this.clock = clock;
		this.executor = executor;
	}

	/**
	 * Creates a tailer of the claims stream.
	 * @param client the client of the log service
	 * @param sink takes the events
	 * @param clock tells when a read ended
	 * @param executor runs the reads
	 * @return the tailer, which does not read yet
	 */
	public static LogTailer ofClaims(LogClient client, EventSink sink, Clock clock, ScheduledExecutorService executor) {
		ClaimCodec codec = new ClaimCodec();
		Translation translation = (at, slice) -> {
			List<ClaimRecord> records = slice.records()
				.stream()
				.flatMap((record) -> codec.decode(record.body()).stream())
				.flatMap(List::stream)
				.toList();
			return new Event.ClaimsRead(at, slice.first(), slice.next(), slice.end(), records);
		};
		return new LogTailer(client, LogStreams.CLAIMS, translation, sink, clock, executor);
	}

	/**
	 * Creates a tailer of the control stream.
	 * @param client the client of the log service
	 * @param sink takes the events
	 * @param clock tells when a read ended
	 * @param executor runs the reads
	 * @param decoder decodes a record, and gives an empty result for one that is not
	 * valid
	 * @return the tailer, which does not read yet
	 */
	public static LogTailer ofControl(LogClient client, EventSink sink, Clock clock, ScheduledExecutorService executor,
			Function<LogSlice.LogRecord, Optional<ControlRecord>> decoder) {
		Translation translation = (at, slice) -> {
			List<ControlRecord> records = slice.records()
				.stream()
				.flatMap((record) -> decoder.apply(record).stream())
				.toList();
			return new Event.ControlRead(at, slice.first(), slice.next(), slice.end(), records);
		};
		return new LogTailer(client, LogStreams.CONTROL, translation, sink, clock, executor);
	}

	/**
	 * Starts to read.
	 */
	public void start() {
		this.executor.execute(this::read);
	}

	@Override
	public void close() {
		this.closed = true;
	}

	private void read() {
		if (!this.closed) {
			this.client.read(this.stream, this.position, READ_LIMIT, WAIT_MILLIS).whenComplete((slice, failure) -> {
				if (!this.closed) {
					this.executor.execute(() -> finish(Optional.ofNullable(slice)));
				}
			});
		}
	}

	private void finish(Optional<LogSlice> slice) {
		if (slice.isPresent()) {
			pass(slice.get());
			read();
			return;
		}
		this.sink.accept(new Event.LogUnreachable(this.clock.millis(), this.stream));
		this.executor.schedule(this::read, this.backoff, TimeUnit.MILLISECONDS);
		this.backoff = Math.min(2 * this.backoff, MAX_BACKOFF_MILLIS);
	}

	private void pass(LogSlice slice) {
		this.backoff = MIN_BACKOFF_MILLIS;
		this.position = Math.max(this.position, slice.next());
		this.sink.accept(this.translation.translate(this.clock.millis(), slice));
	}

	/**
	 * Makes an event of what was read.
	 */
	@FunctionalInterface
	private interface Translation {

		/**
		 * Makes an event.
		 * @param at the clock reading in milliseconds at which the read ended
		 * @param slice what was read
		 * @return the event
		 */
		Event translate(long at, LogSlice slice);

	}

}
