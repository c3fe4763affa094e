package org.ebonyford.gateway.exchange;

/**
 * The memory for answers that are read whole before they are passed on. All requests
 * share it, so that upstreams that send without end do not exhaust the process.
 */
public final class ResponseMemoryBudget {

	/**
	 * The bytes that all answers may take together: an eighth of the smallest heap of a
	 * gateway.
	 */
	private static final int MAX_TOTAL_BYTES = 12 << 20;

	/**
	 * The bytes that one answer may take: the greatest body that callers usually may
	 * send.
	 */
	private static final int MAX_RESPONSE_BYTES = 4 << 20;

	/**
	 * The bytes that an answer gets in any case, so that endless answers leave short ones
	 * room: most answers are shorter.
	 */
	private static final int GUARANTEED_BYTES = 65_536;

	/**
	 * The bytes in use.
	 */
	private int usedBytes;

	/**
	 * Takes memory for a part of an answer.
	 * @param heldBytes the bytes that the answer holds already
	 * @param addedBytes the bytes of the part
	 * @return {@code false} if the answer is too large or too little is left
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
	 * Gives back what an answer held.
	 * @param bytes the bytes
	 */
	void release(int bytes) {
		this.usedBytes -= bytes;
	}

}
