package org.ebonyford.router.upstream;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Cuts a stream into whole events and keeps no more than one event that is not whole.
 */
final class EventStreamReader {

	/**
	 * The bytes that one event may have.
	 */
	private final int maxBytes;

	/**
	 * What has come of the event that is not whole.
	 */
	private final ByteArrayOutputStream partial = new ByteArrayOutputStream();

	/**
	 * The bytes of the line that is not whole.
	 */
	private int lineLength;

	/**
	 * Creates a reader.
	 * @param maxBytes the bytes that one event may have
	 */
	EventStreamReader(int maxBytes) {
		this.maxBytes = maxBytes;
	}

	/**
	 * Takes a piece of the stream.
	 * @param bytes the piece
	 * @return the events that are whole now
	 * @throws BrokenAnswerException if an event is too large or its number is none
	 */
	List<ServerSentEvent> read(byte[] bytes) throws BrokenAnswerException {
		List<ServerSentEvent> events = new ArrayList<>();
		for (byte each : bytes) {
			this.partial.write(each);
			if (each == '\n') {
				if (this.lineLength == 0) {
					events.add(event());
				}
				this.lineLength = 0;
			}
			else if (each != '\r') {
				this.lineLength++;
			}
		}
		if (this.partial.size() > this.maxBytes) {
			throw new BrokenAnswerException("An event is larger than " + this.maxBytes + " bytes");
		}
		return events;
	}

	/**
	 * Returns the bytes that are kept of an event that is not whole.
	 * @return the number of bytes
	 */
	int held() {
		return this.partial.size();
	}

	private ServerSentEvent event() throws BrokenAnswerException {
		byte[] raw = this.partial.toByteArray();
		this.partial.reset();
		OptionalLong id = OptionalLong.empty();
		StringBuilder data = null;
		for (String line : new String(raw, StandardCharsets.UTF_8).split("\r?\n")) {
			if (line.startsWith("id:")) {
				id = OptionalLong.of(number(line.substring(3).strip()));
			}
			else if (line.startsWith("data:")) {
				data = (data != null) ? data.append('\n') : new StringBuilder();
				data.append(line.substring(5).strip());
			}
		}
		return new ServerSentEvent(raw, id, Optional.ofNullable(data).map(StringBuilder::toString));
	}

	private static long number(String text) throws BrokenAnswerException {
		try {
			return Long.parseLong(text);
		}
		catch (NumberFormatException ex) {
			throw new BrokenAnswerException("The number of an event is no number");
		}
	}

}
