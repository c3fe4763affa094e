package org.ebonyford.ini;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The way in which a value is written.
 *
 * @param <T> the type of the value
 */
public interface ValueFormat<T> {

	/**
	 * Reads a value.
	 * @param text the text without surrounding white space
	 * @return the value, or empty if the text is not written as expected
	 */
	Optional<T> parse(String text);

	/**
	 * Tells how a value is written.
	 * @return the end of a sentence that starts with "expected"
	 */
	String expected();

	/**
	 * A whole number within bounds.
	 *
	 * @param least the least number
	 * @param greatest the greatest number
	 */
	record ForInteger(int least, int greatest) implements ValueFormat<Integer> {

		@Override
		public Optional<Integer> parse(String text) {
			try {
				int value = Integer.parseInt(text);
				return (value >= this.least && value <= this.greatest) ? Optional.of(value) : Optional.empty();
			}
			catch (NumberFormatException ex) {
				return Optional.empty();
			}
		}

		@Override
		public String expected() {
			return "a whole number from " + this.least + " to " + this.greatest;
		}

	}

	/**
	 * A decimal number that is not negative, kept as it is written.
	 */
	enum ForDecimal implements ValueFormat<String> {

		/**
		 * The singleton instance.
		 */
		INSTANCE;

		/**
		 * Digits, with a fraction or without one.
		 */
		private static final Pattern PATTERN = Pattern.compile("[0-9]{1,9}([.][0-9]{1,6})?");

		@Override
		public Optional<String> parse(String text) {
			return PATTERN.matcher(text).matches() ? Optional.of(text) : Optional.empty();
		}

		@Override
		public String expected() {
			return "a decimal number that is not negative, such as 2.5";
		}

	}

	/**
	 * A text that matches a pattern as a whole.
	 *
	 * @param pattern the pattern
	 * @param expected how the text is written
	 */
	record ForPattern(Pattern pattern, String expected) implements ValueFormat<String> {

		/**
		 * A name of letters, digits, dots, hyphens and underscores.
		 */
		public static final ForPattern NAME = new ForPattern(Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}"),
				"a name of at most 63 letters, digits, dots, hyphens or underscores");

		/**
		 * A SHA-256 digest.
		 */
		public static final ForPattern SHA_256 = new ForPattern(Pattern.compile("[0-9a-f]{64}"),
				"a SHA-256 digest of 64 lower-case hexadecimal digits");

		/**
		 * Any text that is not empty.
		 */
		public static final ForPattern TEXT = new ForPattern(Pattern.compile(".+"), "a text that is not empty");

		@Override
		public Optional<String> parse(String text) {
			return this.pattern.matcher(text).matches() ? Optional.of(text) : Optional.empty();
		}

	}

	/**
	 * A host and a port, such as {@code 127.0.0.1:8000} or {@code [::1]:8000}.
	 */
	enum ForAddress implements ValueFormat<String> {

		/**
		 * The singleton instance.
		 */
		INSTANCE;

		/**
		 * A host name, an IPv4 address or an IPv6 address in brackets, and a port.
		 */
		private static final Pattern PATTERN = Pattern
			.compile("([A-Za-z0-9]([A-Za-z0-9.-]*[A-Za-z0-9])?|\\[[0-9A-Fa-f:.]+\\]):([0-9]{1,5})");

		/**
		 * The greatest port.
		 */
		private static final int GREATEST_PORT = 65535;

		@Override
		public Optional<String> parse(String text) {
			Matcher matcher = PATTERN.matcher(text);
			if (!matcher.matches()) {
				return Optional.empty();
			}
			int port = Integer.parseInt(matcher.group(3));
			return (port >= 1 && port <= GREATEST_PORT) ? Optional.of(text) : Optional.empty();
		}

		@Override
		public String expected() {
			return "a host and a port, such as 127.0.0.1:8000";
		}

	}

	/**
	 * One of a few words.
	 *
	 * @param choices the values by their words
	 * @param <T> the type of the values
	 */
	record ForChoice<T>(Map<String, T> choices) implements ValueFormat<T> {

		/**
		 * Creates a format.
		 */
		public ForChoice {
			choices = new TreeMap<>(choices);
		}

		@Override
		public Optional<T> parse(String text) {
			return Optional.ofNullable(this.choices.get(text));
		}

		@Override
		public String expected() {
			return String.join(" or ", this.choices.keySet());
		}

	}

	/**
	 * A list with commas between its elements, of which there is at least one.
	 *
	 * @param element the format of an element
	 * @param <T> the type of an element
	 */
	record ForList<T>(ValueFormat<T> element) implements ValueFormat<List<T>> {

		@Override
		public Optional<List<T>> parse(String text) {
			List<Optional<T>> elements = Stream.of(text.split(",", -1))
				.map(String::strip)
				.map(this.element::parse)
				.toList();
			if (elements.stream().anyMatch(Optional::isEmpty)) {
				return Optional.empty();
			}
			return Optional.of(elements.stream().map(Optional::get).collect(Collectors.toList()));
		}

		@Override
		public String expected() {
			return "a list with commas, of which each element is " + this.element.expected();
		}

	}

	/**
	 * A quantity with a unit, such as {@code 250 ms} or {@code 16 KiB}.
	 *
	 * @param units the sizes of the units by name
	 * @param least the least quantity
	 * @param example an example
	 */
	record ForQuantity(Map<String, Long> units, long least, String example) implements ValueFormat<Long> {

		/**
		 * The milliseconds of each unit of time.
		 */
		private static final Map<String, Long> TIMES = Map.of("ms", 1L, "s", 1_000L, "min", 60_000L, "h", 3_600_000L,
				"d", 86_400_000L);

		/**
		 * The bytes of each unit of size.
		 */
		private static final Map<String, Long> SIZES = Map.of("B", 1L, "KiB", 1L << 10, "MiB", 1L << 20, "GiB",
				1L << 30);

		/**
		 * A number, at most nine digits long, and a unit.
		 */
		private static final Pattern PATTERN = Pattern.compile("([0-9]{1,9}) ?([A-Za-z]+)");

		/**
		 * Creates a format.
		 */
		public ForQuantity {
			units = Map.copyOf(units);
		}

		/**
		 * Returns a format for a time in milliseconds.
		 * @param leastMillis the least time in milliseconds
		 * @return the format
		 */
		public static ForQuantity ofTime(long leastMillis) {
			return new ForQuantity(TIMES, leastMillis, "250 ms");
		}

		/**
		 * Returns a format for a size in bytes.
		 * @param leastBytes the least size in bytes
		 * @return the format
		 */
		public static ForQuantity ofSize(long leastBytes) {
			return new ForQuantity(SIZES, leastBytes, "16 KiB");
		}

		@Override
		public Optional<Long> parse(String text) {
			Matcher matcher = PATTERN.matcher(text);
			if (!matcher.matches() || !this.units.containsKey(matcher.group(2))) {
				return Optional.empty();
			}
			long value = Math.multiplyExact(Long.parseLong(matcher.group(1)), this.units.get(matcher.group(2)));
			return (value >= this.least) ? Optional.of(value) : Optional.empty();
		}

		@Override
		public String expected() {
			String names = this.units.entrySet()
				.stream()
				.sorted(Map.Entry.comparingByValue())
				.map(Map.Entry::getKey)
				.collect(Collectors.joining(", "));
			return "a whole number and a unit (" + names + "), such as " + this.example + ", of at least " + this.least
					+ " of the smallest unit";
		}

	}

}
