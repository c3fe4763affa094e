package org.ebonyford.router.settings;

import java.net.URI;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.Optional;
import java.util.function.Function;
import java.util.regex.Pattern;

import org.ebonyford.ini.ValueFormat;

/**
 * The ways in which settings are written.
 */
final class SettingFormats {

	/**
	 * The greatest port.
	 */
	private static final int GREATEST_PORT = 65535;

	/**
	 * The greatest count.
	 */
	private static final int GREATEST_COUNT = 1_000_000_000;

	/**
	 * A time of at least one millisecond, in milliseconds.
	 */
	static final ValueFormat<Long> TIME = ValueFormat.ForQuantity.ofTime(1);

	/**
	 * A size of at least one byte, in bytes.
	 */
	static final ValueFormat<Long> SIZE = ValueFormat.ForQuantity.ofSize(1);

	/**
	 * A number of at least 1.
	 */
	static final ValueFormat<Integer> COUNT = new ValueFormat.ForInteger(1, GREATEST_COUNT);

	/**
	 * A number of at least 0.
	 */
	static final ValueFormat<Integer> NATURAL = new ValueFormat.ForInteger(0, GREATEST_COUNT);

	/**
	 * A port, or 0 for one that the system chooses.
	 */
	static final ValueFormat<Integer> PORT = new ValueFormat.ForInteger(0, GREATEST_PORT);

	/**
	 * A host name or IP number.
	 */
	static final ValueFormat<String> HOST = new ValueFormat.ForPattern(
			Pattern.compile("[A-Za-z0-9]([A-Za-z0-9.-]*[A-Za-z0-9])?|[0-9A-Fa-f:.]*:[0-9A-Fa-f:.]*"),
			"a host name or IP number");

	/**
	 * The name of an environment variable.
	 */
	static final ValueFormat<String> VARIABLE = new ValueFormat.ForPattern(Pattern.compile("[A-Za-z_][A-Za-z0-9_]*"),
			"the name of an environment variable");

	/**
	 * A secret.
	 */
	static final ValueFormat<Secret> SECRET = new ForConversion<>(
			new ValueFormat.ForPattern(Pattern.compile("[!-~]{8,}"), "at least 8 characters without spaces"),
			(text) -> Optional.of(new Secret(text)));

	/**
	 * The path of a file.
	 */
	static final ValueFormat<Path> FILE = new ForConversion<>(
			new ValueFormat.ForPattern(Pattern.compile(".+"), "the path of a readable file"), SettingFormats::path);

	/**
	 * The address of an HTTP service.
	 */
	static final ValueFormat<URI> URL = new ForConversion<>(
			new ValueFormat.ForPattern(Pattern.compile("https?://([A-Za-z0-9.-]+|\\[[0-9A-Fa-f:.]+\\]):[0-9]{1,5}"),
					"the address of an HTTP service, such as http://127.0.0.1:9000"),
			SettingFormats::url);

	private SettingFormats() {
	}

	private static Optional<Path> path(String text) {
		try {
			return Optional.of(Path.of(text));
		}
		catch (InvalidPathException ex) {
			return Optional.empty();
		}
	}

	private static Optional<URI> url(String text) {
		URI uri = URI.create(text);
		return (uri.getPort() >= 1 && uri.getPort() <= GREATEST_PORT) ? Optional.of(uri) : Optional.empty();
	}

	/**
	 * A text that is converted to another type.
	 *
	 * @param text the format of the text
	 * @param conversion converts the text
	 * @param <T> the type of the value
	 */
	record ForConversion<T>(ValueFormat<String> text,
			Function<String, Optional<T>> conversion) implements ValueFormat<T> {

		@Override
		public Optional<T> parse(String value) {
			return this.text.parse(value).flatMap(this.conversion);
		}

		@Override
		public String expected() {
			return this.text.expected();
		}

	}

}
