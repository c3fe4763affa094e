package org.ebonyford.router.log;

/**
 * Signals that a call to the log service failed.
 */
public class LogException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	/**
	 * Whether the call may have taken effect nevertheless.
	 */
	private final boolean effectPossible;

	/**
	 * Creates an exception.
	 * @param message what failed
	 * @param effectPossible whether the call may have taken effect nevertheless
	 * @param cause the cause, {@code null} if there is none
	 */
	public LogException(String message, boolean effectPossible, Throwable cause) {
		super(message, cause);
		this.effectPossible = effectPossible;
	}

	/**
	 * Returns whether the call may have taken effect nevertheless.
	 * @return {@code true} if an append may be in the log
	 */
	public boolean effectPossible() {
		return this.effectPossible;
	}

}
