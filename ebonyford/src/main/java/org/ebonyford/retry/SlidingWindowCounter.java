package org.ebonyford.retry;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Counts what happened within a span of time that ends now.
 */
public final class SlidingWindowCounter {

	/**
	 * The length of the span in milliseconds.
	 */
	private final long windowMillis;

	/**
	 * The width in milliseconds of the steps in which the span is kept.
	 */
	private final long bucketMillis;

	/**
	 * The start and the count of each step, oldest first.
	 */
	private final Deque<long[]> buckets = new ArrayDeque<>();

	/**
	 * The sum of the counts.
	 */
	private long sum;

	/**
	 * Creates a count.
	 * @param windowMillis the length of the span in milliseconds
	 * @param bucketMillis the precision in milliseconds with which the span ends
	 */
	public SlidingWindowCounter(long windowMillis, long bucketMillis) {
		this.windowMillis = windowMillis;
		this.bucketMillis = bucketMillis;
	}

	/**
	 * Adds to the count.
	 * @param amount the amount to add
	 * @param now the time in milliseconds
	 */
	public void add(long amount, long now) {
		expire(now);
		long start = Math.floorDiv(now, this.bucketMillis) * this.bucketMillis;
		if (this.buckets.isEmpty() || this.buckets.getLast()[0] != start) {
			this.buckets.addLast(new long[] { start, 0 });
		}
		this.buckets.getLast()[1] += amount;
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
		while (!this.buckets.isEmpty() && this.buckets.getFirst()[0] + this.bucketMillis <= now - this.windowMillis) {
			this.sum -= this.buckets.removeFirst()[1];
		}
	}

}
