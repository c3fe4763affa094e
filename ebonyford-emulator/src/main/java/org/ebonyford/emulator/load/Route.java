package org.ebonyford.emulator.load;

import java.util.UUID;

/**
 * The way that requests take.
 */
@FunctionalInterface
public interface Route {

	/**
	 * Returns where to send a request and what to send along.
	 * @param spec the request
	 * @return the hop
	 */
	Hop hop(CallSpec spec);

	/**
	 * Sends requests through a router.
	 * @param address the host and port of the router for callers
	 * @return the route
	 */
	static Route throughRouter(String address) {
		return (spec) -> new Hop("http://" + address + ((spec.kind() == CallSpec.Kind.CALL)
				? "/services/" + spec.pool() + spec.text() : "/v1/chat/completions"), "");
	}

	/**
	 * Sends requests to an upstream without a router.
	 * @param address the host and port of the upstream
	 * @return the route
	 */
	static Route direct(String address) {
		return (spec) -> new Hop(
				"http://" + address + ((spec.kind() == CallSpec.Kind.CALL) ? spec.text() : "/v1/chat/completions"),
				UUID.randomUUID().toString());
	}

	/**
	 * Where a request goes.
	 *
	 * @param uri the whole address
	 * @param requestId the name of the request where no router gives one, else empty
	 */
	record Hop(String uri, String requestId) {

	}

}
