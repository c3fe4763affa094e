package org.ebonyford.gateway.log;

import java.util.Locale;

/**
 * Builds a line of the log as a JSON object.
 */
public final class LogLine {

	/**
	 * The greatest length of a text in a line. What callers send may be long.
	 */
	private static final int GREATEST_TEXT = 200;

	/**
	 * The event.
	 */
	private final GatewayEvent event;

	/**
	 * The fields that were added.
	 */
	private final StringBuilder fields = new StringBuilder();

	private LogLine(GatewayEvent event) {
		this.event = event;
	}

	/**
	 * Begins a line.
	 * @param event the event
	 * @return the line without fields
	 */
	public static LogLine of(GatewayEvent event) {
		return new LogLine(event);
	}

	/**
	 * Adds a text.
	 * @param name the name of the field
	 * @param text the text
	 * @return this line
	 */
	public LogLine with(String name, String text) {
		key(name).append('"');
		text.chars().limit(GREATEST_TEXT).forEach((character) -> {
			if (character == '"' || character == '\\') {
				this.fields.append('\\').append((char) character);
			}
			else if (character < ' ' || character > '~') {
				this.fields.append(String.format("\\u%04x", character));
			}
			else {
				this.fields.append((char) character);
			}
		});
		this.fields.append('"');
		return this;
	}

	/**
	 * Adds a whole number.
	 * @param name the name of the field
	 * @param number the number
	 * @return this line
	 */
	public LogLine with(String name, long number) {
		key(name).append(number);
		return this;
	}

	/**
	 * Adds a number with two decimals.
	 * @param name the name of the field
	 * @param number the number
	 * @return this line
	 */
	public LogLine with(String name, double number) {
		key(name).append(Double.isFinite(number) ? String.format(Locale.ROOT, "%.2f", number) : "null");
		return this;
	}

	/**
	 * Adds a truth value.
	 * @param name the name of the field
	 * @param value the value
	 * @return this line
	 */
	public LogLine with(String name, boolean value) {
		key(name).append(value);
		return this;
	}

	GatewayEvent event() {
		return this.event;
	}

	String fields() {
		return this.fields.toString();
	}

	private StringBuilder key(String name) {
		return this.fields.append(",\"").append(name).append("\":");
	}

}
