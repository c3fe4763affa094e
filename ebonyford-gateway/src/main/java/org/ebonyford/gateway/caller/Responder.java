package org.ebonyford.gateway.caller;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Takes the answer to one request: either a whole one, or the head of a stream, its
 * parts, and its end.
 */
public interface Responder {

	/**
	 * Sends a whole answer.
	 * @param status the status code
	 * @param headers the headers apart from those of the connection
	 * @param body the body
	 */
	void respond(int status, HttpHeaders headers, byte[] body);

	/**
	 * Begins a stream.
	 * @param status the status code
	 * @param headers the headers apart from those of the connection
	 */
	void begin(int status, HttpHeaders headers);

	/**
	 * Sends a part of a stream at once.
	 * @param part the part, which the responder releases
	 */
	void part(ByteBuf part);

	/**
	 * Ends a stream as complete.
	 */
	void end();

	/**
	 * Closes the connection, so that the answer does not look complete.
	 */
	void abort();

	/**
	 * Returns whether the caller takes bytes as fast as they come.
	 * @return {@code false} while bytes wait to be sent
	 */
	boolean writable();

	/**
	 * Sets the time by which the caller wants the answer. A caller that takes nothing of
	 * it any more is given up then.
	 * @param atMillis the time in milliseconds
	 */
	void deadline(long atMillis);

	/**
	 * Sets who is told of the caller.
	 * @param listener the listener
	 */
	void listener(Listener listener);

	/**
	 * Is told of the caller while its request is open.
	 */
	interface Listener {

		/**
		 * Notes that the caller has closed the connection.
		 */
		void callerLeft();

		/**
		 * Notes that {@link Responder#writable()} has changed.
		 */
		void writableChanged();

		/**
		 * Notes that the process is about to go, so that the request is answered now.
		 */
		void processEnds();

	}

}
