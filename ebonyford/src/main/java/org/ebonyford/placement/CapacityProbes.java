package org.ebonyford.placement;

import java.util.HashMap;
import java.util.Map;

import org.ebonyford.share.ShareDecision;

/**
 * Keeps the watches of a service: one for room that is left, and one for the turns of
 * each organisation, so that a request that no engine takes silences no other
 * organisation.
 */
public final class CapacityProbes {

	/**
	 * The number of organisations from which watches are forgotten: many more than ask
	 * one router for more than their shares within a second.
	 */
	private static final int MAX_ORGANISATIONS = 1_000;

	/**
	 * The watch for requests that are not their organisation's turn.
	 */
	private final CapacityProbe spareCapacity = CapacityProbe.forSpareCapacity();

	/**
	 * The watches for requests whose turn it is, by organisation.
	 */
	private final Map<String, CapacityProbe> turns = new HashMap<>();

	/**
	 * Returns the watch for a request of an organisation that asks for more than its
	 * share.
	 * @param organisation the organisation
	 * @param turn whether it is the request's turn
	 * @return the watch, to be told of such requests
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
