package org.ebonyford.ini;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.ebonyford.finding.Findings;

/**
 * Reads typed values from one section and collects what is wrong with them.
 */
public final class SectionReader {

	/**
	 * The section.
	 */
	private final IniSection section;

	/**
	 * The findings to add to.
	 */
	private final Findings findings;

	/**
	 * The keys that were asked for.
	 */
	private final Set<String> known = new HashSet<>();

	/**
	 * Creates a reader.
	 * @param section the section
	 * @param findings the findings to add to
	 */
	public SectionReader(IniSection section, Findings findings) {
		this.section = section;
		this.findings = findings;
	}

	/**
	 * Reads a value that must be there.
	 * @param key the key
	 * @param format the format of the value
	 * @param <T> the type of the value
	 * @return the value, or empty if it became a finding
	 */
	public <T> Optional<T> required(String key, ValueFormat<T> format) {
		if (!this.section.entries().containsKey(key)) {
			this.known.add(key);
			this.findings.add(this.section.place(key), "The key is missing; expected " + format.expected());
			return Optional.empty();
		}
		return optional(key, format);
	}

	/**
	 * Reads a value that may be left out.
	 * @param key the key
	 * @param format the format of the value
	 * @param <T> the type of the value
	 * @return the value, or empty if it is left out or became a finding
	 */
	public <T> Optional<T> optional(String key, ValueFormat<T> format) {
		this.known.add(key);
		IniEntry entry = this.section.entries().get(key);
		if (entry == null) {
			return Optional.empty();
		}
		Optional<T> value = format.parse(entry.value());
		if (value.isEmpty()) {
			this.findings.add(this.section.place(key),
					"\"" + entry.value() + "\" is not valid; expected " + format.expected());
		}
		return value;
	}

	/**
	 * Adds a finding for each key that was not asked for.
	 */
	public void finish() {
		this.section.entries()
			.values()
			.stream()
			.filter((entry) -> !this.known.contains(entry.key()))
			.sorted((left, right) -> Integer.compare(left.line(), right.line()))
			.forEach((entry) -> this.findings.add(this.section.place(entry.key()), "The key is unknown"));
	}

}
