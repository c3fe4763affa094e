package org.ebonyford.placement;

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
 */
public record Choice(UpstreamState upstream, double firstMillis, double aheadMillis, double readMillis, int unread,
		long ahead, int running, boolean home) {
}
