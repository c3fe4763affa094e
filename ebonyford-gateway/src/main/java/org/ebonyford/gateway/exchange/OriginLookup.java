package org.ebonyford.gateway.exchange;

import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * Tells at which software version of its upstreams a stream may go on.
 */
public interface OriginLookup {

	/**
	 * Looks up the version that began a stream.
	 * @param service the name of the service
	 * @param request the request whose answer began the stream
	 * @return completes on the event loop with the hash of the version, empty if it is
	 * not known
	 */
	CompletableFuture<OptionalLong> find(String service, String request);

	/**
	 * Returns whether a request continues a stream that is known to have begun and that
	 * none has continued yet.
	 * @param request the request that began the stream
	 * @return {@code true} for the first request at this gateway that continues a known
	 * stream
	 */
	boolean firstContinuation(String request);

	/**
	 * Records that a request for a stream is sent to an upstream. It is saved at once, so
	 * that this has mostly happened by the first event.
	 * @param service the name of the service
	 * @param request the request that begins the stream
	 * @param version the version of the upstream
	 */
	void recordSent(String service, String request, String version);

}
