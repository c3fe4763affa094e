package org.ebonyford.reducer;

import org.ebonyford.claim.ClaimSettings;
import org.ebonyford.control.RefreshPolicy;
import org.ebonyford.dispatch.DispatchSettings;
import org.ebonyford.peer.Audience;
import org.ebonyford.peer.PeerTimes;
import org.ebonyford.suspect.SuspectSettings;

/**
 * The bounds of all decisions.
 *
 * @param dispatch the bounds of dispatch
 * @param claims the bounds of claims
 * @param suspects the bounds of suspicion
 * @param refresh when a control state is appended anew
 * @param peerTimes the times by which peers are judged
 * @param audience chooses the peers that a heartbeat goes to
 * @param evidenceMillis the milliseconds that a batch of evidence covers
 * @param pauseMillis the milliseconds between two ticks beyond which the event loop
 * counts as having stood still
 * @param noticeMillis the milliseconds in which the platform's balancer notices that a
 * router is not ready
 */
public record ReducerSettings(DispatchSettings dispatch, ClaimSettings claims, SuspectSettings suspects,
		RefreshPolicy refresh, PeerTimes peerTimes, Audience audience, long evidenceMillis, long pauseMillis,
		long noticeMillis) {

	/**
	 * Creates settings.
	 * @throws IllegalArgumentException if a time is not positive
	 */
	public ReducerSettings {
		if (pauseMillis < 1 || noticeMillis < 0) {
			throw new IllegalArgumentException("The times of a router must be positive");
		}
	}

}
