package org.ebonyford.gateway.exchange;

import java.util.function.LongSupplier;

/**
 * Limits the memory of responses that are buffered completely before they are forwarded.
 * All requests share it, so that upstreams whose responses never end do not exhaust the
 * heap. Responses that callers have yet to take count, too.
 */
public final class ResponseMemoryBudget {

	/**
	 * The greatest value of the maximum number of bytes of all buffered responses
	 * together.
	 */
	private static final int MAX_TOTAL_BYTES = 12 << 20;

	/**
	 * The part of the heap for buffered responses.
	 */
	private static final double HEAP_FRACTION = 0.125;

	/**
	 * The part of the heap for buffered responses and those that callers have yet to take
	 * together. It is larger, so that a few callers who take large responses slowly do
	 * not make others fail.
	 */
	private static final double HEAP_FRACTION_WITH_UNSENT = 0.3;

	/**
	 * The maximum number of bytes of one response: the usual limit on the body of a
	 * request.
	 */
	private static final int MAX_RESPONSE_BYTES = 4 << 20;

	/**
	 * The number of bytes that each response gets even if the budget is exhausted, so
	 * that endless responses do not block short ones. Most responses are shorter.
	 */
	private static final int GUARANTEED_BYTES = 65_536;

	/**
	 * The maximum number of bytes of all buffered responses together.
	 */
	private final int maxTotalBytes;

	/**
	 * The maximum number of bytes of these and of responses that callers have yet to
	 * take.
	 */
	private final long maxBytesWithUnsent;

	/**
	 * The number of bytes that callers have yet to take.
	 */
	private final LongSupplier unsentBytes;

	/**
	 * The number of bytes reserved at present.
	 */
	private int usedBytes;

	/**
	 * Creates a budget of the greatest size.
	 */
	public ResponseMemoryBudget() {
		this(Long.MAX_VALUE, () -> 0);
	}

	/**
	 * Creates the budget of a process.
	 * @param heapBytes the maximum size of its heap in bytes
	 * @param unsentBytes the number of bytes that callers have yet to take
	 */
	public ResponseMemoryBudget(long heapBytes, LongSupplier unsentBytes) {
		this.maxTotalBytes = (int) Math.min(MAX_TOTAL_BYTES, heapBytes * HEAP_FRACTION);
		this.maxBytesWithUnsent = (long) (heapBytes * HEAP_FRACTION_WITH_UNSENT);
		this.unsentBytes = unsentBytes;
	}

	/**
	 * Reserves memory for the next part of a response.
	 * @param heldBytes the number of bytes that the response has reserved so far
	 * @param addedBytes the number of bytes of the part
	 * @return {@code false} if the response is too large or the budget is exhausted
	 */
	boolean reserve(int heldBytes, int addedBytes) {
		boolean guaranteed = heldBytes + addedBytes <= GUARANTEED_BYTES;
		if (heldBytes + addedBytes > MAX_RESPONSE_BYTES || (!guaranteed && exhausted(addedBytes))) {
			return false;
		}
		this.usedBytes += addedBytes;
		return true;
	}

	private boolean exhausted(int addedBytes) {
		long needed = (long) this.usedBytes + addedBytes;
		return needed > this.maxTotalBytes || needed + this.unsentBytes.getAsLong() > this.maxBytesWithUnsent;
	}

	/**
	 * Releases the memory of a response.
	 * @param bytes the number of bytes that it had reserved
	 */
	void release(int bytes) {
		this.usedBytes -= bytes;
	}

}
