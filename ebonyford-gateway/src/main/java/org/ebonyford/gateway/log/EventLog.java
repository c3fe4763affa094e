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
 * Writes lines to a stream from a thread of its own, so that no decision waits for them.
 * Lines beyond a rate a second for each event, and lines that find the queue full, are
 * counted and left out; the count stands in the next line.
 */
public final class EventLog {

	/**
	 * The lines a second of one event that concern the process or a failed request. With
	 * some 300 bytes a line this bounds the log to about 30 KB a second an event.
	 */
	private static final int MAX_LINES_PER_SECOND = 100;

	/**
	 * The count of an event without lines.
	 */
	private static final int[] ZERO_LINES = { 0 };

	/**
	 * The greatest number of lines that wait to be written.
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
	 * The lines of the current second, by event.
	 */
	private final Map<GatewayEvent, int[]> linesThisSecond = new EnumMap<>(GatewayEvent.class);

	/**
	 * The lines that were left out.
	 */
	private final AtomicLong dropped = new AtomicLong();

	/**
	 * The second for which lines are counted.
	 */
	private long currentSecond;

	/**
	 * The dropped lines that were told already.
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
	 * Writes a line on something that happened before.
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
	 * Returns whether a line on an event would be written now.
	 * @param event the event
	 * @return {@code false} once as many as are allowed were written in this second
	 */
	public boolean canWrite(GatewayEvent event) {
		return this.wallClock.millis() / MILLIS_PER_SECOND != this.currentSecond
				|| this.linesThisSecond.getOrDefault(event, ZERO_LINES)[0] < MAX_LINES_PER_SECOND;
	}

	/**
	 * Counts a line that was not even composed, as there was no room for it.
	 */
	public void countDropped() {
		this.dropped.incrementAndGet();
	}

	/**
	 * Returns the number of lines that were left out.
	 * @return the number since the start
	 */
	public long dropped() {
		return this.dropped.get();
	}

	/**
	 * Waits until the lines are written, for a short time at most.
	 * @param timeoutMillis the longest time in milliseconds
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
