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
	private static final int LINES_PER_SECOND = 100;

	/**
	 * The count of an event without lines.
	 */
	private static final int[] NONE_WRITTEN = { 0 };

	/**
	 * The greatest number of lines that wait to be written.
	 */
	private static final int GREATEST_QUEUE = 2_000;

	/**
	 * The number of milliseconds in a second.
	 */
	private static final long SECOND_MILLIS = 1_000;

	/**
	 * The name of the process in each line.
	 */
	private final String process;

	/**
	 * The wall clock.
	 */
	private final Clock wall;

	/**
	 * The lines that wait to be written.
	 */
	private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(GREATEST_QUEUE);

	/**
	 * The lines of the current second, by event.
	 */
	private final Map<GatewayEvent, int[]> written = new EnumMap<>(GatewayEvent.class);

	/**
	 * The lines that were left out.
	 */
	private final AtomicLong dropped = new AtomicLong();

	/**
	 * The second for which lines are counted.
	 */
	private long second;

	/**
	 * The dropped lines that were told already.
	 */
	private long told;

	/**
	 * Creates a log.
	 * @param process the name of the process in each line
	 * @param wall the wall clock
	 * @param stream the stream to write to
	 */
	public EventLog(String process, Clock wall, PrintStream stream) {
		this.process = process;
		this.wall = wall;
		Thread writer = new Thread(() -> write(stream), "log");
		writer.setDaemon(true);
		writer.start();
	}

	/**
	 * Writes a line.
	 * @param line the line
	 */
	public void write(LogLine line) {
		write(line, this.wall.millis());
	}

	/**
	 * Writes a line on something that happened before.
	 * @param line the line
	 * @param at when it happened, in milliseconds since the epoch
	 */
	public void write(LogLine line, long at) {
		if (!allowed(line.event())) {
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
		if (drops > this.told) {
			text.append(",\"dropped\":").append(drops);
			this.told = drops;
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
	public boolean room(GatewayEvent event) {
		return this.wall.millis() / SECOND_MILLIS != this.second
				|| this.written.getOrDefault(event, NONE_WRITTEN)[0] < LINES_PER_SECOND;
	}

	/**
	 * Counts a line that was not even composed, as there was no room for it.
	 */
	public void leftOut() {
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
	 * @param millis the longest time in milliseconds
	 */
	public void drain(long millis) {
		long end = System.nanoTime() + millis * 1_000_000;
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

	private boolean allowed(GatewayEvent event) {
		long now = this.wall.millis() / SECOND_MILLIS;
		if (now != this.second) {
			this.second = now;
			this.written.clear();
		}
		return this.written.computeIfAbsent(event, (key) -> new int[1])[0]++ < LINES_PER_SECOND;
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
