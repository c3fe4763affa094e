package org.ebonyford.gateway.http;

import java.util.regex.Pattern;

import io.netty.buffer.ByteBuf;

/**
 * Checks the bytes of a response's head. The decoder reads more than HTTP allows: any
 * number as a status, and a blank inside the name of a field as its end.
 */
final class HeadValidator {

	/**
	 * The beginning of a status line.
	 */
	private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-5][0-9]{2}(?: .*)?");

	/**
	 * The number of characters of a status line that are checked: up to the blank after
	 * the status.
	 */
	private static final int CHECKED_LENGTH = "HTTP/1.1 200 ".length();

	/**
	 * The characters of a field's name other than letters and digits.
	 */
	private static final String NAME_SYMBOLS = "!#$%&'*+-.^_`|~";

	/**
	 * The first characters of the status line.
	 */
	private final StringBuilder statusLine = new StringBuilder();

	/**
	 * Whether the status line has ended.
	 */
	private boolean inFields;

	/**
	 * The number of characters of the field that have been read.
	 */
	private int fieldLength;

	/**
	 * Whether the name of the field has ended.
	 */
	private boolean nameEnded;

	/**
	 * Whether the last byte was a carriage return, which belongs to the line unless a
	 * line feed follows.
	 */
	private boolean carriageReturn;

	/**
	 * Whether the head is invalid.
	 */
	private boolean invalid;

	/**
	 * Reads bytes of the head.
	 * @param buffer the buffer
	 * @param from the index of the first byte
	 * @param length the number of bytes
	 */
	void read(ByteBuf buffer, int from, int length) {
		buffer.forEachByte(from, length, (value) -> {
			read((char) (value & 0xff));
			return true;
		});
	}

	private void read(char character) {
		if (character == '\n') {
			endLine();
			this.carriageReturn = false;
			return;
		}
		if (this.carriageReturn) {
			readInLine('\r');
		}
		this.carriageReturn = character == '\r';
		if (!this.carriageReturn) {
			readInLine(character);
		}
	}

	private void readInLine(char character) {
		if (this.inFields) {
			readField(character);
		}
		else if (this.statusLine.length() < CHECKED_LENGTH) {
			this.statusLine.append(character);
		}
	}

	private void readField(char character) {
		if (!this.nameEnded) {
			this.nameEnded = character == ':' && this.fieldLength > 0;
			this.invalid = this.invalid || !(this.nameEnded || allowedInName(character));
		}
		this.fieldLength++;
	}

	private static boolean allowedInName(char character) {
		return character >= 'a' && character <= 'z' || character >= 'A' && character <= 'Z'
				|| character >= '0' && character <= '9' || NAME_SYMBOLS.indexOf(character) >= 0;
	}

	private void endLine() {
		if (this.inFields) {
			this.invalid = this.invalid || this.fieldLength > 0 && !this.nameEnded;
		}
		else if (this.statusLine.length() > 0) {
			this.inFields = true;
			this.invalid = this.invalid || !STATUS_LINE.matcher(this.statusLine).matches();
		}
		this.fieldLength = 0;
		this.nameEnded = false;
	}

	/**
	 * Returns whether the head that has been read is valid, and begins with the next one.
	 * @return {@code false} if it is not a head of HTTP
	 */
	boolean endHead() {
		boolean valid = !this.invalid;
		this.invalid = false;
		this.inFields = false;
		this.statusLine.setLength(0);
		return valid;
	}

}
