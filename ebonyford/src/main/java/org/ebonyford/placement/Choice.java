package org.ebonyford.placement;

import java.util.Optional;

/**
 * An upstream chosen for a request.
 *
 * @param upstream the upstream
 * @param firstMillis when the first byte of the answer is expected, in milliseconds
 * @param aheadMillis the part of that time that other requests take, in milliseconds
 * @param readMillis the part of that time that reading the prompt takes, in milliseconds
 * @param unread the prompt tokens that the upstream has to read
 * @param ahead the prompt tokens that it reads before
 * @param running the requests that it runs or keeps waiting
 * @param home whether the upstream is where the prompt's shared parts are kept
 * @param source the engine from which the upstream is to fetch the memory of shared parts
 * that it lacks
 */
public record Choice(UpstreamState upstream, double firstMillis, double aheadMillis, double readMillis, int unread,
		long ahead, int running, boolean home, Optional<UpstreamState> source) {

	/**
	 * Creates a choice of an upstream that fetches nothing.
	 * @param upstream the upstream
	 * @param firstMillis when the first byte is expected, in milliseconds
	 * @param aheadMillis the part of that time that other requests take, in milliseconds
	 * @param readMillis the part of that time that reading takes, in milliseconds
	 * @param unread the prompt tokens that the upstream has to read
	 * @param ahead the prompt tokens that it reads before
	 * @param running the requests that it runs or keeps waiting
	 * @param home whether the upstream is where the prompt's shared parts are kept
	 */
	public Choice(UpstreamState upstream, double firstMillis, double aheadMillis, double readMillis, int unread,
			long ahead, int running, boolean home) {
		this(upstream, firstMillis, aheadMillis, readMillis, unread, ahead, running, home, Optional.empty());
	}

}
