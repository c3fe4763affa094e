package org.ebonyford.emulator.platform;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.ebonyford.emulator.fault.Fault;
import org.ebonyford.emulator.fault.Faults;
import org.ebonyford.emulator.http.Exchange;
import org.ebonyford.emulator.http.HttpListener;
import org.ebonyford.emulator.http.Json;
import org.ebonyford.emulator.standin.StandIn;

/**
 * An append-only log service, which keeps each stream's records for a limited time, takes
 * a limited number of appends a second, and has outages.
 */
public final class LogStandIn implements StandIn {

	/**
	 * The operation that faults name to strike appends. A slash and the name of a stream
	 * may follow.
	 */
	public static final String APPEND = "append";

	/**
	 * The operation that faults name to strike reads. A slash and the name of a stream
	 * may follow.
	 */
	public static final String READ = "read";

	/**
	 * The longest time that a read waits for a record.
	 */
	private static final long MAX_WAIT_MILLIS = 30_000L;

	/**
	 * The most records that a read returns.
	 */
	private static final int MAX_LIMIT = 10_000;

	/**
	 * The position of a stream's name in a path.
	 */
	private static final int NAME_POSITION = 2;

	/**
	 * The number of parts of a path to a stream's records.
	 */
	private static final int PATH_PARTS = 4;

	/**
	 * The name of the stand-in.
	 */
	private final String name;

	/**
	 * How long and how many records a stream keeps.
	 */
	private Retention retention;

	/**
	 * The appends that a second takes.
	 */
	private final AppendLimit limit;

	/**
	 * The streams by their names.
	 */
	private final Map<String, LogStream> streams = new HashMap<>();

	/**
	 * The faults that are switched on.
	 */
	private final Faults faults = new Faults();

	/**
	 * Runs what is delayed.
	 */
	private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor((task) -> {
		Thread thread = new Thread(task, "log");
		thread.setDaemon(true);
		return thread;
	});

	/**
	 * The listener for calls.
	 */
	private final HttpListener listener;

	/**
	 * Starts a log service.
	 * @param name the name of the stand-in
	 * @param port the port to listen on, or 0 to let the system choose one
	 * @param retention how long and how many records a stream keeps
	 * @param appendsPerSecond the appends that a second takes
	 */
	public LogStandIn(String name, int port, Retention retention, int appendsPerSecond) {
		this.name = name;
		this.retention = retention;
		this.limit = new AppendLimit(appendsPerSecond);
		this.listener = HttpListener.listen(port, this::accept);
	}

	@Override
	public String name() {
		return this.name;
	}

	@Override
	public String address() {
		return this.listener.address();
	}

	@Override
	public Faults faults() {
		return this.faults;
	}

	@Override
	public synchronized Object truth(boolean detailed) {
		Map<String, StreamTruth> truth = new TreeMap<>();
		this.streams.forEach((stream, log) -> truth.put(stream, new StreamTruth(log.first(), log.end(), log.bytes())));
		return new LogTruth(System.currentTimeMillis(), truth);
	}

	@Override
	public synchronized void order(String order, byte[] body) {
		if (!order.equals("retention")) {
			throw new IllegalArgumentException("The log knows no order " + order);
		}
		this.retention = Json.read(body, Retention.class);
		long now = System.currentTimeMillis();
		this.streams.values().forEach((stream) -> stream.retain(this.retention, now));
	}

	@Override
	public void close() {
		this.listener.close();
		this.scheduler.shutdownNow();
	}

	private void accept(Exchange exchange) {
		String[] path = exchange.path().split("/");
		if (path.length != PATH_PARTS || !path[1].equals("streams") || !path[PATH_PARTS - 1].equals("records")) {
			exchange.answer(404, Map.of());
			return;
		}
		if (exchange.method().equals("POST")) {
			exchange.body().thenAccept((body) -> append(exchange, path[NAME_POSITION], body));
			return;
		}
		strike(exchange, READ + "/" + path[NAME_POSITION], new byte[0],
				() -> () -> read(exchange, path[NAME_POSITION]));
	}

	private void append(Exchange exchange, String stream, byte[] body) {
		if (!this.limit.admits()) {
			exchange.answer(503, Map.of());
			return;
		}
		strike(exchange, APPEND + "/" + stream, body, () -> {
			long offset = append(stream, body);
			return () -> exchange.answer(201, Map.of("offset", offset));
		});
	}

	private synchronized long append(String stream, byte[] body) {
		LogStream log = stream(stream);
		long offset = log.append(System.currentTimeMillis(), body);
		log.retain(this.retention, System.currentTimeMillis());
		return offset;
	}

	/**
	 * Carries out a call, or what its fault leaves of it.
	 * @param exchange the call
	 * @param operation the operation of the call
	 * @param body the body of the call
	 * @param effect has the call take effect and returns what answers it
	 */
	private void strike(Exchange exchange, String operation, byte[] body, Supplier<Runnable> effect) {
		Optional<Fault> fault = this.faults.strike(operation, body);
		if (fault.isEmpty()) {
			effect.get().run();
			return;
		}
		switch (fault.get().kind()) {
			case OUTAGE -> exchange.answer(503, Map.of());
			case UNREACHABLE -> exchange.breakOff();
			case LOST -> {
				effect.get();
				exchange.breakOff();
			}
			case HELD -> this.faults.hold(() -> effect.get().run());
			case HELD_ANSWER -> this.faults.hold(effect.get());
			case SLOW -> this.scheduler.schedule(() -> effect.get().run(), fault.get().millis(), TimeUnit.MILLISECONDS);
			default -> effect.get().run();
		}
	}

	private void read(Exchange exchange, String stream) {
		long from = exchange.parameter("from", 0);
		int most = (int) Math.min(MAX_LIMIT, exchange.parameter("limit", MAX_LIMIT));
		long wait = Math.min(MAX_WAIT_MILLIS, exchange.parameter("wait", 0));
		Runnable answer = () -> exchange.answer(200, slice(stream, from, most));
		synchronized (this) {
			LogStream log = stream(stream);
			log.retain(this.retention, System.currentTimeMillis());
			if (log.end() <= from && wait > 0) {
				log.await(answer, this.scheduler, wait);
				return;
			}
		}
		answer.run();
	}

	private synchronized LogStream.Slice slice(String stream, long from, int most) {
		return stream(stream).read(from, most);
	}

	private LogStream stream(String stream) {
		return this.streams.computeIfAbsent(stream, (ignored) -> new LogStream());
	}

	/**
	 * How long and how many records a stream keeps.
	 *
	 * @param millis the milliseconds for which a record is kept
	 * @param count the number of records that are kept
	 */
	public record Retention(long millis, int count) {

	}

	/**
	 * What really is in a stream.
	 *
	 * @param first the offset of the first record that is kept
	 * @param end the offset that follows the last record
	 * @param bytes the bytes that were appended in all
	 */
	public record StreamTruth(long first, long end, long bytes) {

	}

	/**
	 * What really is in the log.
	 *
	 * @param at when the truth was told, in milliseconds since the epoch
	 * @param streams the streams by their names
	 */
	public record LogTruth(long at, Map<String, StreamTruth> streams) {

		/**
		 * Creates a truth.
		 */
		public LogTruth {
			streams = Map.copyOf(streams);
		}

	}

	/**
	 * Admits a number of appends a second.
	 */
	private static final class AppendLimit {

		/**
		 * The appends that a second takes.
		 */
		private final int perSecond;

		/**
		 * The second that is counted, since an arbitrary origin.
		 */
		private long second;

		/**
		 * The appends of that second.
		 */
		private int count;

		private AppendLimit(int perSecond) {
			this.perSecond = perSecond;
		}

		private synchronized boolean admits() {
			long now = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime());
			if (now != this.second) {
				this.second = now;
				this.count = 0;
			}
			this.count++;
			return this.count <= this.perSecond;
		}

	}

}
