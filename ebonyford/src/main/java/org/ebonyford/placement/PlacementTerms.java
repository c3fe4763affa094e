package org.ebonyford.placement;

import org.ebonyford.share.ShareDecision;

/**
 * The terms on which a request is placed.
 *
 * @param firstByteLimitMillis the time in milliseconds within which the first byte should
 * come
 * @param usedShare the part of its fair share of what engines ran lately that the
 * organisation has used
 * @param usedRatedShare the part of its fair share of what engines are stated to run that
 * it has used within the window of shares
 * @param maxPauseMillis the longest pause between events with which a stream of the
 * service is on time, in milliseconds; 0 if answers are no streams
 * @param aheadOfOthers whether the organisation has used much more of its share than
 * another one whose requests are refused
 * @param turn whether it is the request's turn among those of its organisation
 */
public record PlacementTerms(double firstByteLimitMillis, double usedShare, double usedRatedShare,
		double maxPauseMillis, boolean aheadOfOthers, ShareDecision turn) {

	/**
	 * Creates the terms of a request whose organisation is not ahead of others.
	 * @param firstByteLimitMillis the time in milliseconds within which the first byte
	 * should come
	 * @param usedShare the part of its fair share that the organisation has used
	 * @param maxPauseMillis the longest pause between events in milliseconds
	 */
	public PlacementTerms(double firstByteLimitMillis, double usedShare, double maxPauseMillis) {
		this(firstByteLimitMillis, usedShare, usedShare, maxPauseMillis, false, ShareDecision.UNLIMITED);
	}

	/**
	 * Returns whether the organisation is beyond its share: it gets what others leave.
	 * @return {@code true} if others go first
	 */
	public boolean beyondShare() {
		return this.usedShare > 1 || !this.turn.admitted();
	}

	/**
	 * Returns whether requests only go to engines that keep their shared parts. Engines
	 * exceed their stated rate by reusing prompts, so reading a prompt on another engine
	 * uses up that surplus. An organisation that lately got less than half of its share
	 * is exempt.
	 * @return {@code true} if requests stay with the homes of their prompts
	 */
	public boolean homeOnly() {
		return (this.usedRatedShare > 1 && this.usedShare > AdmissionControl.STARVED_SHARE) || !this.turn.admitted();
	}

}
