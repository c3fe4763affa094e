package org.ebonyford.gateway.caller;

/**
 * Takes the requests of callers.
 */
@FunctionalInterface
public interface RequestHandler {

	/**
	 * Takes a request.
	 * @param request the request
	 * @param responder takes the answer
	 */
	void handle(CallerRequest request, Responder responder);

}
