package org.ebonyford.router.caller;

import java.util.Objects;

/**
 * Signals that a request is refused before any decision about it is asked for.
 */
public class RejectedException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Why the request is refused.
	 */
	private final Rejection rejection;

	/**
	 * Creates an exception.
	 * @param rejection why the request is refused
	 * @param detail what exactly is wrong, without any key or content of the request
	 */
	public RejectedException(Rejection rejection, String detail) {
		super(detail, null, false, false);
		this.rejection = Objects.requireNonNull(rejection, "rejection");
	}

	/**
	 * Returns why the request is refused.
	 * @return the reason
	 */
	public Rejection rejection() {
		return this.rejection;
	}

}
