package org.ebonyford.router.command;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Reads text files.
 */
@FunctionalInterface
public interface TextFiles {

	/**
	 * Reads a file.
	 * @param name the name of the file
	 * @return the text of the file
	 * @throws UncheckedIOException if the file cannot be read as UTF-8 text
	 */
	String read(String name);

	/**
	 * Reads files of this machine.
	 */
	enum ForFileSystem implements TextFiles {

		/**
		 * The singleton instance.
		 */
		INSTANCE;

		@Override
		public String read(String name) {
			try {
				return Files.readString(Path.of(name));
			}
			catch (IOException ex) {
				throw new UncheckedIOException("The file " + name + " cannot be read", ex);
			}
		}

	}

}
