package org.ebonyford.gateway.exchange;

/**
 * Limits the memory of responses that are buffered completely before they are forwarded.
 * All requests share it, so that upstreams whose responses never end do not exhaust the
 * heap.
 */
public final class ResponseMemoryBudget {

	/**
	 * The maximum number of bytes of all buffered responses together: an eighth of the
	 * smallest heap of a gateway.
	 */
	private static final int MAX_TOTAL_BYTES = 12 << 20;

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
	 * The number of bytes reserved at present.
	 */
	private int usedBytes;

	/**
	 * Reserves memory for the next part of a response.
	 * @param heldBytes the number of bytes that the response has reserved so far
	 * @param addedBytes the number of bytes of the part
	 * @return {@code false} if the response is too large or the budget is exhausted
	 */
	boolean reserve(int heldBytes, int addedBytes) {
		boolean guaranteed = heldBytes + addedBytes <= GUARANTEED_BYTES;
		if (heldBytes + addedBytes > MAX_RESPONSE_BYTES
				|| (!guaranteed && this.usedBytes + addedBytes > MAX_TOTAL_BYTES)) {
			return false;
		}
		this.usedBytes += addedBytes;
		return true;
	}

	/**
	 * Releases the memory of a response.
	 * @param bytes the number of bytes that it had reserved
	 */
	void release(int bytes) {
		this.usedBytes -= bytes;
	}

}
