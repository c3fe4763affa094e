package org.ebonyford.router.command;

/**
 * Signals that a command is refused.
 */
class CommandException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message why the command is refused
	 */
	CommandException(String message) {
		super(message);
	}

}
