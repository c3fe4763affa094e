package org.ebonyford.gateway.exchange;

/**
 * The memory for answers that are read whole before they are passed on. All requests
 * share it, so that upstreams that send without end do not exhaust the process.
 */
public final class AnswerMemory {

	/**
	 * The bytes that all answers may take together: an eighth of the smallest heap of a
	 * gateway.
	 */
	private static final int GREATEST_BYTES = 12 << 20;

	/**
	 * The bytes that one answer may take: the greatest body that callers usually may
	 * send.
	 */
	private static final int GREATEST_ANSWER = 4 << 20;

	/**
	 * The bytes that an answer gets in any case, so that endless answers leave short ones
	 * room: most answers are shorter.
	 */
	private static final int GRANTED = 65_536;

	/**
	 * The bytes in use.
	 */
	private int used;

	/**
	 * Takes memory for a part of an answer.
	 * @param held the bytes that the answer holds already
	 * @param bytes the bytes of the part
	 * @return {@code false} if the answer is too large or too little is left
	 */
	boolean take(int held, int bytes) {
		boolean granted = held + bytes <= GRANTED;
		if (held + bytes > GREATEST_ANSWER || (!granted && this.used + bytes > GREATEST_BYTES)) {
			return false;
		}
		this.used += bytes;
		return true;
	}

	/**
	 * Gives back what an answer held.
	 * @param bytes the bytes
	 */
	void release(int bytes) {
		this.used -= bytes;
	}

}
