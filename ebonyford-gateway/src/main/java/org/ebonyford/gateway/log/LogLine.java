package org.ebonyford.gateway.log;

import java.util.Locale;

/**
 * Builds a line of the log as a JSON object.
 */
public final class LogLine {

	/**
	 * Maximum number of characters of a text, since callers may send long ones.
	 */
	private static final int MAX_TEXT_CHARS = 200;

	/**
	 * Numbers from this size on are formatted by the slower {@code String.format}.
	 */
	private static final double FAST_FORMAT_LIMIT = 1e15;

	/**
	 * The event.
	 */
	private final GatewayEvent event;

	/**
	 * The fields added so far, as JSON.
	 */
	private final StringBuilder fields = new StringBuilder();

	private LogLine(GatewayEvent event) {
		this.event = event;
	}

	/**
	 * Creates a line.
	 * @param event the event
	 * @return the line without fields
	 */
	public static LogLine of(GatewayEvent event) {
		return new LogLine(event);
	}

	/**
	 * Adds a text, escaped and cut to the maximum length.
	 * @param name the name of the field
	 * @param text the text
	 * @return this line
	 */
	public LogLine with(String name, String text) {
		appendKey(name).append('"');
		int length = Math.min(text.length(), MAX_TEXT_CHARS);
		for (int index = 0; index < length; index++) {
			append(text.charAt(index));
		}
		this.fields.append('"');
		return this;
	}

	private void append(char character) {
		if (character < ' ' || character > '~') {
			this.fields.append(String.format("\\u%04x", (int) character));
			return;
		}
		if (character == '"' || character == '\\') {
			this.fields.append('\\');
		}
		this.fields.append(character);
	}

	/**
	 * Adds an integer.
	 * @param name the name of the field
	 * @param number the number
	 * @return this line
	 */
	public LogLine with(String name, long number) {
		appendKey(name).append(number);
		return this;
	}

	/**
	 * Adds a number rounded to two decimals, or {@code null} if it is not finite.
	 * @param name the name of the field
	 * @param number the number
	 * @return this line
	 */
	public LogLine with(String name, double number) {
		appendKey(name);
		if (!Double.isFinite(number)) {
			this.fields.append("null");
		}
		else if (Math.abs(number) >= FAST_FORMAT_LIMIT) {
			this.fields.append(String.format(Locale.ROOT, "%.2f", number));
		}
		else {
			appendHundredths(Math.round(number * 100));
		}
		return this;
	}

	private void appendHundredths(long number) {
		long fraction = Math.abs(number % 100);
		this.fields.append((number < 0 && number > -100) ? "-" : "")
			.append(number / 100)
			.append((fraction < 10) ? ".0" : ".")
			.append(fraction);
	}

	/**
	 * Adds a boolean.
	 * @param name the name of the field
	 * @param value the value
	 * @return this line
	 */
	public LogLine with(String name, boolean value) {
		appendKey(name).append(value);
		return this;
	}

	GatewayEvent event() {
		return this.event;
	}

	String fields() {
		return this.fields.toString();
	}

	private StringBuilder appendKey(String name) {
		return this.fields.append(",\"").append(name).append("\":");
	}

}
