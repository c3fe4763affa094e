package org.ebonyford.ini;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.ebonyford.finding.Findings;
import org.ebonyford.finding.Place;

/**
 * An INI file. A line is blank, a comment that starts with {@code ;} or {@code #}, a
 * header {@code [kind name]} or an entry {@code key = value}. A value ends with its line.
 *
 * @param name the name of the file
 * @param sections the sections in the order of the file, each header once
 */
public record IniFile(String name, List<IniSection> sections) {

	/**
	 * Creates a file.
	 */
	public IniFile {
		sections = List.copyOf(sections);
	}

	/**
	 * Reads a file. Lines that cannot be read become findings and are left out.
	 * @param name the name of the file
	 * @param text the text of the file
	 * @param findings the findings to add to
	 * @return the file as far as it could be read
	 */
	public static IniFile read(String name, String text, Findings findings) {
		Parser parser = new Parser(name, findings);
		text.lines().forEach(parser::line);
		return new IniFile(name, parser.finish());
	}

	/**
	 * Returns the place of the file as a whole.
	 * @return the place without a section and line
	 */
	public Place place() {
		return new Place(this.name, "", "", 0);
	}

	/**
	 * Reads a file line by line.
	 */
	private static final class Parser {

		/**
		 * The name of the file.
		 */
		private final String file;

		/**
		 * The findings to add to.
		 */
		private final Findings findings;

		/**
		 * The sections that were read whole.
		 */
		private final List<IniSection> sections = new ArrayList<>();

		/**
		 * The lines of the headers that were read.
		 */
		private final Map<String, Integer> headers = new TreeMap<>();

		/**
		 * The entries of the section that is being read.
		 */
		private final Map<String, IniEntry> entries = new LinkedHashMap<>();

		/**
		 * The header of the section that is being read, {@code null} before the first one
		 * and in a section that is left out.
		 */
		private String header;

		/**
		 * The line of that header.
		 */
		private int headerLine;

		/**
		 * The number of the line that is being read.
		 */
		private int number;

		/**
		 * Whether a header was met.
		 */
		private boolean started;

		Parser(String file, Findings findings) {
			this.file = file;
			this.findings = findings;
		}

		void line(String line) {
			this.number++;
			String text = line.strip();
			if (text.isEmpty() || text.startsWith(";") || text.startsWith("#")) {
				return;
			}
			if (text.startsWith("[")) {
				header(text);
				return;
			}
			entry(text);
		}

		List<IniSection> finish() {
			if (this.header != null) {
				this.sections.add(new IniSection(this.file, this.header, this.headerLine, this.entries));
			}
			this.entries.clear();
			this.header = null;
			return this.sections;
		}

		private void header(String text) {
			finish();
			this.started = true;
			if (!text.endsWith("]") || text.length() == 2) {
				find("", "", "A section header must read [kind] or [kind name]");
				return;
			}
			String candidate = text.substring(1, text.length() - 1).strip().replaceAll("\\s+", " ");
			Integer earlier = this.headers.putIfAbsent(candidate, this.number);
			if (earlier != null) {
				find(candidate, "", "The section stands in line " + earlier + " already");
				return;
			}
			this.header = candidate;
			this.headerLine = this.number;
		}

		private void entry(String text) {
			int separator = text.indexOf('=');
			if (separator < 1) {
				find(currentHeader(), "", "A line must read key = value, [section], or start with ; or #");
				return;
			}
			String key = text.substring(0, separator).strip();
			if (!this.started) {
				find("", key, "The key stands before the first section");
				return;
			}
			add(new IniEntry(key, text.substring(separator + 1).strip(), this.number));
		}

		private void add(IniEntry entry) {
			if (this.header == null) {
				return;
			}
			IniEntry earlier = this.entries.putIfAbsent(entry.key(), entry);
			if (earlier != null) {
				find(this.header, entry.key(), "The key stands in line " + earlier.line() + " already");
			}
		}

		private String currentHeader() {
			return (this.header != null) ? this.header : "";
		}

		private void find(String section, String key, String message) {
			this.findings.add(new Place(this.file, section, key, this.number), message);
		}

	}

}
