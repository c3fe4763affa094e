package org.ebonyford.router.caller;

import java.util.Locale;

/**
 * Why a request is refused before any decision about it is asked for. Nothing of such a
 * request ever ran.
 */
public enum Rejection {

	/** The request is malformed. */
	MALFORMED(400, "The request is malformed"),

	/** The organisation's key is missing or unknown. */
	UNAUTHENTICATED(401, "The organisation's key is missing or unknown"),

	/** The organisation's plan may not use the pool or the request class. */
	NOT_ENTITLED(403, "The plan does not allow this"),

	/** The router has no resource at the path. */
	NO_SUCH_PATH(404, "No such path"),

	/** The pool does not exist. */
	NO_SUCH_POOL(404, "No such pool"),

	/** The path does not take the method. */
	METHOD_NOT_ALLOWED(405, "The path does not take this method"),

	/** The body did not arrive in time. */
	BODY_TIMEOUT(408, "The body did not arrive in time"),

	/** The body is larger than allowed. */
	BODY_TOO_LARGE(413, "The body is too large"),

	/** The target is longer than allowed. */
	TARGET_TOO_LONG(414, "The target is too long"),

	/** The headers are larger or more than allowed. */
	HEADERS_TOO_LARGE(431, "The headers are too large"),

	/** The router holds as many requests as it may. */
	OVERLOADED(503, "The router holds as many requests as it may"),

	/** The request came with another version than HTTP/1.1. */
	HTTP_VERSION(505, "The router takes HTTP/1.1"),

	/** The router has no configuration in force. */
	NOT_READY(503, "The router is not ready");

	/**
	 * The HTTP status code of the answer.
	 */
	private final int status;

	/**
	 * What is wrong, in a few words.
	 */
	private final String title;

	Rejection(int status, String title) {
		this.status = status;
		this.title = title;
	}

	/**
	 * Returns the status code of the answer.
	 * @return the HTTP status code
	 */
	public int status() {
		return this.status;
	}

	/**
	 * Returns what is wrong.
	 * @return a few words
	 */
	public String title() {
		return this.title;
	}

	/**
	 * Returns the name of the reason in answers.
	 * @return the name in lower-case letters and hyphens
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
