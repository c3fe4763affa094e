package org.ebonyford.retry;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Counts what happened within a span of time that ends now.
 */
public final class SlidingCount {

	/**
	 * The length of the span in milliseconds.
	 */
	private final long spanMillis;

	/**
	 * The width in milliseconds of the steps in which the span is kept.
	 */
	private final long stepMillis;

	/**
	 * The start and the count of each step, oldest first.
	 */
	private final Deque<long[]> steps = new ArrayDeque<>();

	/**
	 * The sum of the counts.
	 */
	private long sum;

	/**
	 * Creates a count.
	 * @param spanMillis the length of the span in milliseconds
	 * @param stepMillis the precision in milliseconds with which the span ends
	 */
	public SlidingCount(long spanMillis, long stepMillis) {
		this.spanMillis = spanMillis;
		this.stepMillis = stepMillis;
	}

	/**
	 * Adds to the count.
	 * @param amount the amount to add
	 * @param now the time in milliseconds
	 */
	public void add(long amount, long now) {
		expire(now);
		long start = Math.floorDiv(now, this.stepMillis) * this.stepMillis;
		if (this.steps.isEmpty() || this.steps.getLast()[0] != start) {
			this.steps.addLast(new long[] { start, 0 });
		}
		this.steps.getLast()[1] += amount;
		this.sum += amount;
	}

	/**
	 * Returns the count. A step counts until the whole of it lies before the span.
	 * @param now the time in milliseconds
	 * @return the sum of what was added within the span
	 */
	public long sum(long now) {
		expire(now);
		return this.sum;
	}

	private void expire(long now) {
		while (!this.steps.isEmpty() && this.steps.getFirst()[0] + this.stepMillis <= now - this.spanMillis) {
			this.sum -= this.steps.removeFirst()[1];
		}
	}

}
