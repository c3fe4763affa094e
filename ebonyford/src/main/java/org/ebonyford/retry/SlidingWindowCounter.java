package org.ebonyford.retry;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Sums amounts over a sliding time window that ends now.
 */
public final class SlidingWindowCounter {

	/**
	 * The length of the window in milliseconds.
	 */
	private final long windowMillis;

	/**
	 * The length of a bucket in milliseconds.
	 */
	private final long bucketMillis;

	/**
	 * The start in milliseconds and the sum of each bucket, oldest first.
	 */
	private final Deque<long[]> buckets = new ArrayDeque<>();

	/**
	 * The sum over all buckets.
	 */
	private long sum;

	/**
	 * Creates an empty counter.
	 * @param windowMillis the length of the window in milliseconds
	 * @param bucketMillis the precision in milliseconds with which amounts leave the
	 * window
	 */
	public SlidingWindowCounter(long windowMillis, long bucketMillis) {
		this.windowMillis = windowMillis;
		this.bucketMillis = bucketMillis;
	}

	/**
	 * Adds an amount.
	 * @param amount the amount
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
	 * Returns the sum over the window. A bucket counts until all of it has left the
	 * window.
	 * @param now the time in milliseconds
	 * @return the sum of the amounts that were added within the window
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
