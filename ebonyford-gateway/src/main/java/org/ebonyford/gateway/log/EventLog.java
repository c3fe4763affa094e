package org.ebonyford.gateway.log;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

import org.ebonyford.time.Clock;

/**
 * Writes log lines to a stream from a thread of its own, so that the event loop never
 * waits for the stream. Drops and counts lines that exceed the rate limit of their event
 * or find the queue full; the next line written reports the count.
 */
public final class EventLog {

	/**
	 * Maximum lines per second of each event. With some 300 bytes per line this bounds
	 * the log to about 30 KB per second and event.
	 */
	private static final int MAX_LINES_PER_SECOND = 100;

	/**
	 * The count of an event without lines in the current second.
	 */
	private static final int[] ZERO_LINES = { 0 };

	/**
	 * Maximum number of lines that wait to be written.
	 */
	private static final int MAX_QUEUED_LINES = 2_000;

	/**
	 * The number of milliseconds in a second.
	 */
	private static final long MILLIS_PER_SECOND = 1_000;

	/**
	 * The name of the process in each line.
	 */
	private final String process;

	/**
	 * The wall clock.
	 */
	private final Clock wallClock;

	/**
	 * The lines that wait to be written.
	 */
	private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);

	/**
	 * Number of lines in the current second by event.
	 */
	private final Map<GatewayEvent, int[]> linesThisSecond = new EnumMap<>(GatewayEvent.class);

	/**
	 * Number of dropped lines since the start.
	 */
	private final AtomicLong dropped = new AtomicLong();

	/**
	 * The second since the epoch for which lines are counted.
	 */
	private long currentSecond;

	/**
	 * The number of dropped lines that the log last reported.
	 */
	private long reportedDrops;

	/**
	 * Creates a log.
	 * @param process the name of the process in each line
	 * @param wallClock the wall clock
	 * @param stream the stream to write to
	 */
	public EventLog(String process, Clock wallClock, PrintStream stream) {
		this.process = process;
		this.wallClock = wallClock;
		Thread writer = new Thread(() -> write(stream), "log");
		writer.setDaemon(true);
		writer.start();
	}

	/**
	 * Writes a line.
	 * @param line the line
	 */
	public void write(LogLine line) {
		write(line, this.wallClock.millis());
	}

	/**
	 * Writes a line on an earlier event.
	 * @param line the line
	 * @param at when it happened, in milliseconds since the epoch
	 */
	public void write(LogLine line, long at) {
		if (!tryAcquire(line.event())) {
			this.dropped.incrementAndGet();
			return;
		}
		StringBuilder text = new StringBuilder(256).append("{\"at\":")
			.append(at)
			.append(",\"router\":\"")
			.append(this.process)
			.append("\",\"code\":\"")
			.append(line.event().code())
			.append("\",\"event\":\"")
			.append(line.event())
			.append('"')
			.append(line.fields());
		long drops = this.dropped.get();
		if (drops > this.reportedDrops) {
			text.append(",\"dropped\":").append(drops);
			this.reportedDrops = drops;
		}
		if (!this.queue.offer(text.append("}\n").toString())) {
			this.dropped.incrementAndGet();
		}
	}

	/**
	 * Returns whether the rate limit of an event allows another line now.
	 * @param event the event
	 * @return {@code false} if the limit of the current second is used up
	 */
	public boolean canWrite(GatewayEvent event) {
		return this.wallClock.millis() / MILLIS_PER_SECOND != this.currentSecond
				|| this.linesThisSecond.getOrDefault(event, ZERO_LINES)[0] < MAX_LINES_PER_SECOND;
	}

	/**
	 * Counts a line as dropped that was not composed because {@link #canWrite} returned
	 * {@code false}.
	 */
	public void countDropped() {
		this.dropped.incrementAndGet();
	}

	/**
	 * Returns the number of dropped lines.
	 * @return the number since the start
	 */
	public long dropped() {
		return this.dropped.get();
	}

	/**
	 * Waits until the queue is empty or the time is over.
	 * @param timeoutMillis the maximum time to wait in milliseconds
	 */
	public void flush(long timeoutMillis) {
		long end = System.nanoTime() + timeoutMillis * 1_000_000;
		while (!this.queue.isEmpty() && System.nanoTime() < end) {
			try {
				Thread.sleep(5);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return;
			}
		}
	}

	private boolean tryAcquire(GatewayEvent event) {
		long now = this.wallClock.millis() / MILLIS_PER_SECOND;
		if (now != this.currentSecond) {
			this.currentSecond = now;
			this.linesThisSecond.clear();
		}
		return this.linesThisSecond.computeIfAbsent(event, (key) -> new int[1])[0]++ < MAX_LINES_PER_SECOND;
	}

	private void write(PrintStream stream) {
		StringBuilder batch = new StringBuilder();
		try {
			while (true) {
				batch.setLength(0);
				batch.append(this.queue.take());
				for (String next = this.queue.poll(); next != null; next = this.queue.poll()) {
					batch.append(next);
				}
				byte[] bytes = batch.toString().getBytes(StandardCharsets.US_ASCII);
				stream.write(bytes, 0, bytes.length);
				stream.flush();
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
