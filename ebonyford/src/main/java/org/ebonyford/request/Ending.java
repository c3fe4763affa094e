package org.ebonyford.request;

/**
 * The way in which an exchange with an upstream ended.
 */
public enum Ending {

	/**
	 * The upstream gave its whole answer, which went to the caller whole.
	 */
	COMPLETED,

	/**
	 * Nothing was handed to a connection, so that the request certainly did not run.
	 */
	NOT_SENT,

	/**
	 * The upstream said that it did not run the request.
	 */
	DECLINED,

	/**
	 * The connection broke before the whole answer came, so that the request may have
	 * run.
	 */
	BROKEN,

	/**
	 * The exchange was cancelled since its caller left or its time ran out.
	 */
	CANCELLED

}
