package org.ebonyford.emulator.process;

import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * A signal of the operating system.
 */
public enum Signal {

	/** Ends a process at once. */
	KILL,

	/** Asks a process to end. */
	TERM,

	/** Freezes a process. */
	STOP,

	/** Lets a frozen process go on. */
	CONT;

	/**
	 * Sends the signal.
	 * @param process the process, which the caller must have started
	 */
	void send(Process process) {
		if (!process.isAlive()) {
			return;
		}
		try {
			new ProcessBuilder("kill", "-" + name(), Long.toString(process.pid())).inheritIO().start().waitFor();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
