package org.ebonyford.placement;

import java.util.Optional;

/**
 * The upstream chosen for a request, with the expected latency there.
 *
 * @param upstream the upstream
 * @param firstByteMillis the expected time to the first byte, in milliseconds
 * @param queueMillis the part of that time spent waiting for other requests, in
 * milliseconds
 * @param prefillMillis the part of that time spent on the prefill, in milliseconds
 * @param prefillTokens the prompt tokens that are not in the upstream's prefix cache
 * @param queuedTokens the prompt tokens of other requests that it has yet to prefill
 * @param running the requests that it runs or queues
 * @param home whether the upstream is the first home of the prompt's shared parts
 * @param prefixSource the engine from which the upstream is to fetch the KV cache of
 * shared parts that it lacks, if any
 */
public record Choice(UpstreamState upstream, double firstByteMillis, double queueMillis, double prefillMillis,
		int prefillTokens, long queuedTokens, int running, boolean home, Optional<UpstreamState> prefixSource) {

	/**
	 * Creates a choice of an upstream that fetches no KV cache.
	 * @param upstream the upstream
	 * @param firstByteMillis the expected time to the first byte, in milliseconds
	 * @param queueMillis the part of that time spent waiting for other requests, in
	 * milliseconds
	 * @param prefillMillis the part of that time spent on the prefill, in milliseconds
	 * @param prefillTokens the prompt tokens that are not in the upstream's prefix cache
	 * @param queuedTokens the prompt tokens of other requests that it has yet to prefill
	 * @param running the requests that it runs or queues
	 * @param home whether the upstream is the first home of the prompt's shared parts
	 */
	public Choice(UpstreamState upstream, double firstByteMillis, double queueMillis, double prefillMillis,
			int prefillTokens, long queuedTokens, int running, boolean home) {
		this(upstream, firstByteMillis, queueMillis, prefillMillis, prefillTokens, queuedTokens, running, home,
				Optional.empty());
	}

}
