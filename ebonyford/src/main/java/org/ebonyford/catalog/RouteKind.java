package org.ebonyford.catalog;

/**
 * Tells what a router may repeat for a request of a route, and how its answer arrives.
 */
public enum RouteKind {

	/**
	 * The request may run any number of times.
	 */
	IDEMPOTENT(true, false),

	/**
	 * The request may run once at most.
	 */
	AT_MOST_ONCE(false, false),

	/**
	 * The answer is a stream of events, and the request may run once at most.
	 */
	STREAM(false, true),

	/**
	 * The answer is a stream of events that another upstream may continue.
	 */
	RESUMABLE_STREAM(true, true);

	/**
	 * Whether the request may run more than once.
	 */
	private final boolean repeatable;

	/**
	 * Whether the answer is a stream of events.
	 */
	private final boolean stream;

	RouteKind(boolean repeatable, boolean stream) {
		this.repeatable = repeatable;
		this.stream = stream;
	}

	/**
	 * Returns whether a request may be sent again after it may have run.
	 * @return {@code true} if it may run more than once
	 */
	public boolean repeatable() {
		return this.repeatable;
	}

	/**
	 * Returns whether the answer arrives as a stream of events.
	 * @return {@code true} for a stream
	 */
	public boolean stream() {
		return this.stream;
	}

}
