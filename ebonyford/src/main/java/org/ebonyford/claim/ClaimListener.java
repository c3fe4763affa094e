package org.ebonyford.claim;

import org.ebonyford.effect.Outbox;
import org.ebonyford.request.Request;

/**
 * Is told when a request that may not be repeated may be sent and when no longer.
 */
public interface ClaimListener {

	/**
	 * Takes a request whose claim holds, so that it may be sent once.
	 * @param now the router's clock reading in milliseconds
	 * @param request the request
	 * @param outbox takes the effects
	 */
	void held(long now, Request request, Outbox outbox);

	/**
	 * Takes back a request that was passed to {@link #held} and has not been sent. It
	 * must not be sent until it is passed to {@link #held} again.
	 * @param now the router's clock reading in milliseconds
	 * @param request the request
	 * @param outbox takes the effects
	 */
	void suspended(long now, Request request, Outbox outbox);

}
