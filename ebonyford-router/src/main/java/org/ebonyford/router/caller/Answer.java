package org.ebonyford.router.caller;

import java.util.List;
import java.util.function.IntConsumer;

/**
 * The answer to one caller. Every method returns without waiting for the caller, and does
 * nothing once the answer has ended.
 */
public interface Answer {

	/**
	 * Returns whether a part of the answer may have gone to the caller.
	 * @return {@code true} once the answer has started
	 */
	boolean started();

	/**
	 * Gives a whole answer at once.
	 * @param status the HTTP status code
	 * @param headers the headers
	 * @param body the body
	 */
	void whole(int status, List<HeaderField> headers, byte[] body);

	/**
	 * Starts an answer that is written piece by piece.
	 * @param status the HTTP status code
	 * @param headers the headers
	 * @param drained takes the number of bytes of each piece once it is no longer kept
	 */
	void start(int status, List<HeaderField> headers, IntConsumer drained);

	/**
	 * Writes a piece of an answer that was started and flushes it.
	 * @param bytes the piece
	 */
	void write(byte[] bytes);

	/**
	 * Ends an answer that was started, once everything that was written has gone out.
	 */
	void finish();

	/**
	 * Breaks the connection to the caller, so that it can't take a part of an answer for
	 * the whole.
	 */
	void abort();

}
