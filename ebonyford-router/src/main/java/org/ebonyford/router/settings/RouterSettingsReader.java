package org.ebonyford.router.settings;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;

import org.ebonyford.finding.FindingsException;

/**
 * Reads and checks the settings of a router.
 *
 * @param variables looks up environment variables
 * @param readable tells whether a file can be read
 */
public record RouterSettingsReader(Function<String, Optional<String>> variables, Predicate<Path> readable) {

	/**
	 * Returns a reader that uses the environment of this process.
	 * @return the reader
	 */
	public static RouterSettingsReader ofProcess() {
		Map<String, String> environment = System.getenv();
		return new RouterSettingsReader((name) -> Optional.ofNullable(environment.get(name)), Files::isReadable);
	}

	/**
	 * Reads settings.
	 * @param file the name of the file for findings
	 * @param text the text of the file
	 * @return the settings
	 * @throws FindingsException if there are faults, with all of them
	 */
	public RouterSettings read(String file, String text) {
		return new SettingsParser(file, this).parse(text);
	}

}
