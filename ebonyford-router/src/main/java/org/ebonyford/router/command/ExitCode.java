package org.ebonyford.router.command;

/**
 * The exit codes of the program.
 */
public enum ExitCode {

	/** The command did what was asked. */
	OK(0),

	/** The command was refused, or a file has faults. */
	REFUSED(1),

	/** The command line could not be read. */
	USAGE(2),

	/** The log service, the list of VMs or a router could not be reached. */
	UNREACHABLE(3),

	/** Another operator's change was accepted first. */
	RACE_LOST(4);

	/**
	 * The exit code of the process.
	 */
	private final int number;

	ExitCode(int number) {
		this.number = number;
	}

	/**
	 * Returns the exit code of the process.
	 * @return the number
	 */
	public int number() {
		return this.number;
	}

}
