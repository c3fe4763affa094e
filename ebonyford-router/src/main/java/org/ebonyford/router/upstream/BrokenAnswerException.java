package org.ebonyford.router.upstream;

/**
 * Signals that an answer is not whole, not in order or not the answer to its request.
 */
class BrokenAnswerException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message what is wrong with the answer
	 */
	BrokenAnswerException(String message) {
		super(message, null, false, false);
	}

}
