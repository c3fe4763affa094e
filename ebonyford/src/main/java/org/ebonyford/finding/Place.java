package org.ebonyford.finding;

/**
 * The place in a file that a finding is about.
 *
 * @param file the name of the file
 * @param section the section of the file, empty where none applies
 * @param key the key in the section, empty where none applies
 * @param line the line, counted from 1, or 0 where none applies
 */
public record Place(String file, String section, String key, int line) {

	/**
	 * Creates a place.
	 * @throws IllegalArgumentException if the line is negative
	 */
	public Place {
		if (line < 0) {
			throw new IllegalArgumentException("The line must not be negative");
		}
	}

	@Override
	public String toString() {
		String text = this.file + ((this.line > 0) ? ":" + this.line : "");
		text = text + (this.section.isEmpty() ? "" : " [" + this.section + "]");
		return text + (this.key.isEmpty() ? "" : " " + this.key);
	}

}
