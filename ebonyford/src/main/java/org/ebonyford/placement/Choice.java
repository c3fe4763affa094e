package org.ebonyford.placement;

import java.util.Optional;

/**
 * An upstream chosen for a request.
 *
 * @param upstream the upstream
 * @param firstByteMillis when the first byte of the answer is expected, in milliseconds
 * @param queueMillis the part of that time that other requests take, in milliseconds
 * @param prefillMillis the part of that time that reading the prompt takes, in
 * milliseconds
 * @param prefillTokens the prompt tokens that the upstream has to read
 * @param queuedTokens the prompt tokens that it reads before
 * @param running the requests that it runs or keeps waiting
 * @param home whether the upstream is where the prompt's shared parts are kept
 * @param prefixSource the engine from which the upstream is to fetch the memory of shared
 * parts that it lacks
 */
public record Choice(UpstreamState upstream, double firstByteMillis, double queueMillis, double prefillMillis,
		int prefillTokens, long queuedTokens, int running, boolean home, Optional<UpstreamState> prefixSource) {

	/**
	 * Creates a choice of an upstream that fetches nothing.
	 * @param upstream the upstream
	 * @param firstByteMillis when the first byte is expected, in milliseconds
	 * @param queueMillis the part of that time that other requests take, in milliseconds
	 * @param prefillMillis the part of that time that reading takes, in milliseconds
	 * @param prefillTokens the prompt tokens that the upstream has to read
	 * @param queuedTokens the prompt tokens that it reads before
	 * @param running the requests that it runs or keeps waiting
	 * @param home whether the upstream is where the prompt's shared parts are kept
	 */
	public Choice(UpstreamState upstream, double firstByteMillis, double queueMillis, double prefillMillis,
			int prefillTokens, long queuedTokens, int running, boolean home) {
		this(upstream, firstByteMillis, queueMillis, prefillMillis, prefillTokens, queuedTokens, running, home,
				Optional.empty());
	}

}
