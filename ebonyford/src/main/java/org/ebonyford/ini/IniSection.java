package org.ebonyford.ini;

import java.util.List;
import java.util.Map;

import org.ebonyford.finding.Place;

/**
 * One section of an INI file.
 *
 * @param file the name of the file
 * @param header the text between the brackets, with single spaces between its words
 * @param line the line of the header, counted from 1
 * @param entries the entries by key
 */
public record IniSection(String file, String header, int line, Map<String, IniEntry> entries) {

	/**
	 * Creates a section.
	 */
	public IniSection {
		entries = Map.copyOf(entries);
	}

	/**
	 * Returns the kind of the section, which is the first word of its header.
	 * @return the kind, empty if the header is empty
	 */
	public String kind() {
		return words().get(0);
	}

	/**
	 * Returns the names that follow the kind in the header.
	 * @return the names in the order of the header
	 */
	public List<String> names() {
		List<String> words = words();
		return words.subList(1, words.size());
	}

	/**
	 * Returns the place of the header.
	 * @return the place without a key
	 */
	public Place place() {
		return new Place(this.file, this.header, "", this.line);
	}

	/**
	 * Returns the place of a key.
	 * @param key the key
	 * @return the place of the key, or that of the header if the section lacks the key
	 */
	public Place place(String key) {
		IniEntry entry = this.entries.get(key);
		return new Place(this.file, this.header, key, (entry != null) ? entry.line() : this.line);
	}

	private List<String> words() {
		return List.of(this.header.split(" "));
	}

}
