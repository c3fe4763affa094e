package org.ebonyford.dispatch;

import org.ebonyford.request.Outcome;
import org.ebonyford.request.Request;

/**
 * A request that waits for a slot.
 *
 * @param request the request
 * @param since the clock reading in milliseconds at which the request came
 * @param broken how often an exchange of the request broke
 */
record Waiting(Request request, long since, int broken) {

	/**
	 * Returns the request after another of its exchanges broke.
	 * @return the changed copy
	 */
	Waiting afterBreak() {
		return new Waiting(this.request, this.since, this.broken + 1);
	}

	/**
	 * Returns what the caller is told if the request is given up on.
	 * @return whether the request may have run
	 */
	Outcome outcome() {
		return (this.broken > 0) ? Outcome.UNKNOWN : Outcome.NOT_RUN;
	}

}
