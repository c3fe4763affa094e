package org.ebonyford.gateway.exchange;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import io.netty.buffer.ByteBuf;

/**
 * Splits the body of a server-sent event stream into complete events, so that a truncated
 * event is never forwarded.
 */
final class EventSplitter {

	/**
	 * The prefix of the line that holds the identifier of an event.
	 */
	private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

	/**
	 * The maximum size of an event in bytes: many times that of a token with its log
	 * probabilities.
	 */
	private static final int MAX_EVENT_BYTES = 65_536;

	/**
	 * The bytes of the event that is still incomplete.
	 */
	private byte[] pending = new byte[0];

	/**
	 * Adds bytes of the stream.
	 * @param content the bytes, which are consumed
	 * @return the events that these bytes complete
	 */
	List<StreamEvent> add(ByteBuf content) {
		byte[] bytes = Arrays.copyOf(this.pending, this.pending.length + content.readableBytes());
		content.readBytes(bytes, this.pending.length, content.readableBytes());
		List<StreamEvent> events = new ArrayList<>(2);
		int start = 0;
		int lineStart = 0;
		for (int index = 0; index < bytes.length; index++) {
			if (bytes[index] == '\n') {
				if (blank(bytes, lineStart, index)) {
					events.add(parse(Arrays.copyOfRange(bytes, start, index + 1)));
					start = index + 1;
				}
				lineStart = index + 1;
			}
		}
		this.pending = Arrays.copyOfRange(bytes, start, bytes.length);
		return events;
	}

	/**
	 * Returns whether the bytes so far end with a complete event.
	 * @return {@code false} if the last event is incomplete
	 */
	boolean atEventBoundary() {
		return this.pending.length == 0;
	}

	/**
	 * Returns whether the incomplete event exceeds the maximum size.
	 * @return {@code true} if the body is not a valid event stream
	 */
	boolean overflows() {
		return this.pending.length > MAX_EVENT_BYTES;
	}

	private static boolean blank(byte[] bytes, int start, int end) {
		return end == start || (end == start + 1 && bytes[start] == '\r');
	}

	private static StreamEvent parse(byte[] bytes) {
		int start = 0;
		for (int index = 0; index < bytes.length; index++) {
			if (bytes[index] == '\n') {
				if (index - start > ID_FIELD.length
						&& Arrays.equals(bytes, start, start + ID_FIELD.length, ID_FIELD, 0, ID_FIELD.length)) {
					int from = start + ID_FIELD.length;
					return new StreamEvent(bytes,
							new String(bytes, from, index - from, StandardCharsets.US_ASCII).strip());
				}
				start = index + 1;
			}
		}
		return new StreamEvent(bytes, "");
	}

	/**
	 * An event of a stream.
	 *
	 * @param bytes the bytes of the event, including its final blank line
	 * @param id the identifier, empty if the event has none
	 */
	record StreamEvent(byte[] bytes, String id) {

		/**
		 * Returns whether the event consists of comments only, as sent to keep a
		 * connection open. It is no progress of the stream.
		 * @return {@code true} if it has no field
		 */
		boolean commentOnly() {
			for (int index = 0; index < this.bytes.length; index++) {
				boolean atLineStart = index == 0 || this.bytes[index - 1] == '\n';
				if (atLineStart && this.bytes[index] != ':' && this.bytes[index] != '\r' && this.bytes[index] != '\n') {
					return false;
				}
			}
			return true;
		}

		/**
		 * Returns whether the event follows the given one, by number if both identifiers
		 * are numbers.
		 * @param lastId the identifier of the last event that the caller received, empty
		 * if there is none
		 * @return {@code false} if the caller has received it already
		 */
		boolean after(String lastId) {
			if (lastId.isEmpty() || this.id.isEmpty()) {
				return true;
			}
			try {
				return Long.parseLong(this.id) > Long.parseLong(lastId);
			}
			catch (NumberFormatException ex) {
				return !this.id.equals(lastId);
			}
		}

	}

}
