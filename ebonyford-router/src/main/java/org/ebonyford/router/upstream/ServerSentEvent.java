package org.ebonyford.router.upstream;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * One event of a stream.
 *
 * @param raw the event as it came, with the empty line that ends it
 * @param id the number of the event, or empty if it has none
 * @param data the data, or empty if the event is only a comment
 */
record ServerSentEvent(byte[] raw, OptionalLong id, Optional<String> data) {

	/**
	 * The data of the event that ends a stream.
	 */
	private static final String DONE = "[DONE]";

	/**
	 * Returns whether the event ends its stream.
	 * @return {@code true} for the last event
	 */
	boolean isLast() {
		return this.data.filter(DONE::equals).isPresent();
	}

}
