package org.ebonyford.gateway.exchange;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import io.netty.buffer.ByteBuf;

/**
 * Splits the body of an event stream into whole events, so that an event that breaks off
 * is never passed on.
 */
final class EventSplitter {

	/**
	 * The field that holds the identifier of an event.
	 */
	private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

	/**
	 * The greatest size in bytes of an event: many times a token with its log
	 * probabilities.
	 */
	private static final int MAX_EVENT_BYTES = 65_536;

	/**
	 * The bytes of the event that is not whole yet.
	 */
	private byte[] pending = new byte[0];

	/**
	 * Adds bytes.
	 * @param content the bytes, which are read
	 * @return the events that are whole now
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
	 * Returns whether the bytes end with a whole event.
	 * @return {@code false} if an event broke off
	 */
	boolean atEventBoundary() {
		return this.pending.length == 0;
	}

	/**
	 * Returns whether the event that is not whole yet is larger than any event.
	 * @return {@code true} if the bytes are no event stream
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
	 * @param bytes the bytes of the event, its blank line included
	 * @param id the identifier, empty if it has none
	 */
	record StreamEvent(byte[] bytes, String id) {

		/**
		 * Returns whether the event is only a comment, which keeps a connection open and
		 * tells nothing of the stream.
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
		 * Returns whether the event comes after another one.
		 * @param lastId the identifier of the other event, empty if there is none
		 * @return {@code false} if the caller has it already
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
