package org.ebonyford.total;

import java.util.HashMap;
import java.util.Map;

import org.ebonyford.placement.Load;
import org.ebonyford.placement.PaceObservation;
import org.ebonyford.placement.PaceTotals;
import org.ebonyford.share.Usage;

/**
 * A message with totals that one router sends to another.
 *
 * @param kind whose totals they are
 * @param sender the name of the sending router
 * @param dataCentre its data centre
 * @param sources the number of routers in the totals
 * @param ageMillis the age of the oldest part in milliseconds
 * @param loads the load on upstreams by the short hash of their identifier
 * @param usages the tokens that organisations requested and were served, by the hash of
 * their name
 * @param paces the measured speed of upstreams by the hash of their service
 * @param statedPaces the newest paces that upstreams stated, by the short hash of their
 * identifier, observed at a time before the message that is given as a negative number
 */
public record TotalsMessage(Kind kind, String sender, String dataCentre, int sources, long ageMillis,
		Map<Integer, Load> loads, Map<Integer, Usage> usages, Map<Integer, PaceTotals> paces,
		Map<Integer, PaceObservation> statedPaces) {

	/**
	 * Creates a message.
	 */
	public TotalsMessage {
		loads = Map.copyOf(loads);
		usages = Map.copyOf(usages);
		paces = Map.copyOf(paces);
		statedPaces = Map.copyOf(statedPaces);
	}

	/**
	 * Creates a message without stated paces.
	 * @param kind whose totals they are
	 * @param sender the name of the sending router
	 * @param dataCentre its data centre
	 * @param sources the number of routers in the totals
	 * @param ageMillis the age of the oldest part in milliseconds
	 * @param loads the load on upstreams by the short hash of their identifier
	 * @param usages the tokens that organisations requested and were served, by the hash
	 * of their name
	 * @param paces the measured speed of upstreams by the hash of their service
	 */
	public TotalsMessage(Kind kind, String sender, String dataCentre, int sources, long ageMillis,
			Map<Integer, Load> loads, Map<Integer, Usage> usages, Map<Integer, PaceTotals> paces) {
		this(kind, sender, dataCentre, sources, ageMillis, loads, usages, paces, Map.of());
	}

	static TotalsMessage of(Kind kind, String sender, String dataCentre, Totals totals, long now) {
		return new TotalsMessage(kind, sender, dataCentre, totals.sources(), Math.max(now - totals.measuredAt(), 0),
				totals.loads(), totals.usages(), totals.paces(),
				shift(totals.withoutInvalidPaces(now).statedPaces(), -now));
	}

	Totals totals(long now) {
		return new Totals(this.sources, now - this.ageMillis, this.loads, this.usages, this.paces,
				shift(this.statedPaces, now));
	}

	private static Map<Integer, PaceObservation> shift(Map<Integer, PaceObservation> paces, long millis) {
		Map<Integer, PaceObservation> shifted = new HashMap<>();
		paces.forEach((upstream, pace) -> shifted.put(upstream, pace.later(millis)));
		return shifted;
	}

	/**
	 * Whose totals a message holds.
	 */
	public enum Kind {

		/**
		 * The sender's own, for the collector of its data centre.
		 */
		MEMBER,

		/**
		 * Those of the sender's data centre, for the collector of another one.
		 */
		DATA_CENTRE,

		/**
		 * Those of all routers except the receiver, in answer to a {@link #MEMBER}
		 * message.
		 */
		OTHERS

	}

}
