package org.ebonyford.dispatch;

/**
 * What becomes of a request whose exchange ended.
 */
public enum Completion {

	/**
	 * The request is over and its caller has its answer or is gone.
	 */
	OVER,

	/**
	 * The request is over and its caller gets a refusal.
	 */
	REFUSED,

	/**
	 * The request waits for another upstream.
	 */
	REQUEUED,

	/**
	 * No exchange of the request was known.
	 */
	UNTRACKED

}
