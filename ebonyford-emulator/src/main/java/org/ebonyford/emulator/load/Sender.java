package org.ebonyford.emulator.load;

import java.util.concurrent.CompletableFuture;

/**
 * Sends requests.
 */
@FunctionalInterface
public interface Sender {

	/**
	 * Sends a request and judges the answer.
	 * @param route the way that the request takes
	 * @param spec the request
	 * @return the judgement, never a failure
	 */
	CompletableFuture<Verdict> send(Route route, CallSpec spec);

}
