package org.ebonyford.request;

/**
 * Why a request gets a refusal in place of an upstream's answer.
 */
public enum RefusalReason {

	/** The router has no configuration in force. */
	NOT_READY(503),

	/** The organisation's plan may not use the pool or the request class. */
	NOT_ENTITLED(403),

	/** The pool does not exist. */
	NO_SUCH_POOL(404),

	/** The organisation has as many requests waiting as its plan allows. */
	QUEUE_FULL(429),

	/** The deadline passed before the request could be sent. */
	DEADLINE(504),

	/** No upstream of the pool is in service. */
	NO_UPSTREAM(503),

	/** The upstream's connection broke before its whole answer came. */
	UPSTREAM_BROKEN(502),

	/**
	 * The log service is out of reach, so that a request that may not be repeated cannot
	 * be claimed.
	 */
	LOG_UNAVAILABLE(503),

	/** The router has not read the whole window of claims yet. */
	CLAIMS_INCOMPLETE(503),

	/** The same idempotency key is claimed by a request that still runs. */
	KEY_IN_USE(409),

	/** The same idempotency key came with another request. */
	KEY_MISMATCH(422),

	/**
	 * The same idempotency key belongs to a request that ran, whose answer is not kept.
	 */
	ANSWER_NOT_KEPT(409),

	/**
	 * The same idempotency key belongs to a request of which nobody can say whether it
	 * ran.
	 */
	KEY_UNKNOWN(409),

	/** The request is suspected of crashing the upstreams that run it. */
	SUSPECTED(422),

	/** The router is stopping. */
	STOPPING(503);

	/**
	 * The HTTP status code of the refusal.
	 */
	private final int status;

	RefusalReason(int status) {
		this.status = status;
	}

	/**
	 * Returns the status code of the refusal.
	 * @return the HTTP status code
	 */
	public int status() {
		return this.status;
	}

}
