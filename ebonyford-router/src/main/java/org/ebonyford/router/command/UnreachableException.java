package org.ebonyford.router.command;

/**
 * Signals that something that a command asks cannot be reached.
 */
class UnreachableException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message what cannot be reached
	 */
	UnreachableException(String message) {
		super(message);
	}

}
