package org.ebonyford.placement;

import java.util.HashMap;
import java.util.Map;

import org.ebonyford.share.ShareDecision;

/**
 * Holds the capacity probes of a service: one for spare capacity, shared by all
 * organisations, and one for the turns of each organisation, so that a rejected turn
 * suppresses the probes of no other organisation.
 */
public final class CapacityProbes {

	/**
	 * The number of organisations above which all their probes are dropped: many more
	 * than ask one router for more than their shares within a second.
	 */
	private static final int MAX_ORGANISATIONS = 1_000;

	/**
	 * The probe for requests that do not have their turn.
	 */
	private final CapacityProbe spareCapacity = CapacityProbe.forSpareCapacity();

	/**
	 * The probes for requests that have their turn, by organisation.
	 */
	private final Map<String, CapacityProbe> turns = new HashMap<>();

	/**
	 * Returns the probe for a request of an organisation that asks for more than its
	 * share.
	 * @param organisation the organisation
	 * @param turn the turn of the request
	 * @return the probe, which needs the result of each such request
	 */
	public CapacityProbe of(String organisation, ShareDecision turn) {
		if (!turn.admitted()) {
			return this.spareCapacity;
		}
		if (this.turns.size() > MAX_ORGANISATIONS) {
			this.turns.clear();
		}
		return this.turns.computeIfAbsent(organisation, (key) -> CapacityProbe.forTurns());
	}

}
