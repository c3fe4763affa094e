package org.ebonyford.placement;

import org.ebonyford.share.ShareDecision;

/**
 * The conditions on which a request is placed: when its first byte is due and how its
 * organisation stands to its fair share.
 *
 * @param firstByteLimitMillis the time in milliseconds within which the first byte is due
 * @param usedShare the fraction that the organisation has used of its fair share of what
 * the engines recently served
 * @param usedRatedShare the fraction that it has used, within the share window, of its
 * fair share of the engines' stated capacity
 * @param maxPauseMillis the maximum pause between events with which a stream of the
 * service is on time, in milliseconds; 0 if answers are no streams
 * @param aheadOfOthers whether the organisation has used much more of its share than
 * another whose requests are rejected
 * @param turn whether it is the request's turn among those of its organisation
 * @param prefillLimitMillis the time in milliseconds that the prompts of an engine that
 * has others to prefill may take, this one included; 0 if it is not limited
 */
public record PlacementTerms(double firstByteLimitMillis, double usedShare, double usedRatedShare,
		double maxPauseMillis, boolean aheadOfOthers, ShareDecision turn, double prefillLimitMillis) {

	/**
	 * Creates terms that do not limit the prefill at an engine.
	 * @param firstByteLimitMillis the time in milliseconds within which the first byte is
	 * due
	 * @param usedShare the fraction of its fair share that the organisation has recently
	 * used
	 * @param usedRatedShare the fraction that it has used within the share window
	 * @param maxPauseMillis the maximum pause between events in milliseconds
	 * @param aheadOfOthers whether the organisation has used much more of its share than
	 * another whose requests are rejected
	 * @param turn whether it is the request's turn among those of its organisation
	 */
	public PlacementTerms(double firstByteLimitMillis, double usedShare, double usedRatedShare, double maxPauseMillis,
			boolean aheadOfOthers, ShareDecision turn) {
		this(firstByteLimitMillis, usedShare, usedRatedShare, maxPauseMillis, aheadOfOthers, turn, 0);
	}

	/**
	 * Creates the terms of a request that has its turn and whose organisation is not
	 * ahead of others.
	 * @param firstByteLimitMillis the time in milliseconds within which the first byte is
	 * due
	 * @param usedShare the fraction of its fair share that the organisation has used
	 * @param maxPauseMillis the maximum pause between events in milliseconds
	 */
	public PlacementTerms(double firstByteLimitMillis, double usedShare, double maxPauseMillis) {
		this(firstByteLimitMillis, usedShare, usedShare, maxPauseMillis, false, ShareDecision.UNLIMITED);
	}

	/**
	 * Returns the same terms with a limit on the prefill at an engine.
	 * @param millis the time in milliseconds that the prompts of an engine that has
	 * others to prefill may take, this one included; 0 for no limit
	 * @return the terms
	 */
	public PlacementTerms withPrefillLimit(double millis) {
		return new PlacementTerms(this.firstByteLimitMillis, this.usedShare, this.usedRatedShare, this.maxPauseMillis,
				this.aheadOfOthers, this.turn, millis);
	}

	/**
	 * Returns whether the request is beyond its organisation's share, so that it gets
	 * only capacity that others leave.
	 * @return {@code true} if the requests of others go first
	 */
	public boolean beyondShare() {
		return this.usedShare > 1 || !this.turn.admitted();
	}

	/**
	 * Returns whether the request should go only to the homes of its shared parts.
	 * Engines exceed their stated rate by reusing prompts, so a prefill on another engine
	 * uses up that surplus. An organisation that recently got at most half of its share
	 * is exempt while the request has its turn.
	 * @return {@code true} if the request stays at the homes of its prompt
	 */
	public boolean homeOnly() {
		return (this.usedRatedShare > 1 && this.usedShare > AdmissionControl.STARVED_SHARE) || !this.turn.admitted();
	}

}
