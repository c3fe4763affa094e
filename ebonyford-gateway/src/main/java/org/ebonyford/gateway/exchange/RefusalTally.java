package org.ebonyford.gateway.exchange;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;

import org.ebonyford.gateway.log.GatewayEvent;
import org.ebonyford.gateway.log.LogLine;
import org.ebonyford.share.OrganisationShares;

/**
 * Counts the admitted and refused requests of each organisation at this gateway since the
 * last log lines. A few lines a second then show who was refused and why, even if more
 * requests are refused than the log can record one by one.
 */
public final class RefusalTally {

	/**
	 * The maximum number of organisations logged at a time: those with the most refusals.
	 */
	private static final int MAX_LINES = 4;

	/**
	 * The counts by organisation; requests refused before their organisation is known
	 * count under the empty name.
	 */
	private final Map<String, Counts> counts = new HashMap<>();

	/**
	 * Counts a request that is sent to an upstream.
	 * @param organisation its organisation
	 * @param withinShare whether its organisation's share covers it; otherwise it uses
	 * spare capacity
	 * @param tokens its tokens as counted against shares
	 */
	public void admitted(String organisation, boolean withinShare, long tokens) {
		Counts counts = counts(organisation);
		counts.admitted++;
		counts.withinShareTokens += withinShare ? tokens : 0;
		counts.spareCapacityTokens += withinShare ? 0 : tokens;
	}

	/**
	 * Counts a refused request.
	 * @param organisation its organisation, empty if it is not known
	 * @param cause the cause of the refusal
	 * @param refusedShareTokens its tokens if its organisation's share covered it, else 0
	 */
	public void refused(String organisation, Cause cause, long refusedShareTokens) {
		Counts counts = counts(organisation);
		counts.refused[cause.ordinal()]++;
		counts.refusedShareTokens += refusedShareTokens;
	}

	/**
	 * Returns log lines on the organisations that had requests refused, and resets all
	 * counts.
	 * @param standings returns what an organisation recently got from all gateways
	 * @return the lines, the most refusals first
	 */
	public List<LogLine> takeLogLines(Function<String, OrganisationShares.RecentShare> standings) {
		List<LogLine> lines = this.counts.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().refusals() > 0)
			.sorted(Comparator.comparingInt((Map.Entry<String, Counts> entry) -> entry.getValue().refusals())
				.reversed())
			.limit(MAX_LINES)
			.map((entry) -> line(entry.getKey(), entry.getValue(), standings.apply(entry.getKey())))
			.toList();
		this.counts.clear();
		return lines;
	}

	private static LogLine line(String organisation, Counts counts, OrganisationShares.RecentShare standing) {
		LogLine line = LogLine.of(GatewayEvent.REFUSALS)
			.with("organisation", organisation)
			.with("taken", counts.admitted)
			.with("turn_tokens", counts.withinShareTokens)
			.with("room_tokens", counts.spareCapacityTokens)
			.with("lost_turn_tokens", counts.refusedShareTokens)
			.with("fleet_asked_tokens", standing.requestedTokens())
			.with("fleet_served_tokens", standing.servedTokens())
			.with("fleet_share_tokens", standing.shareTokens())
			.with("correction", standing.correction());
		for (Cause cause : Cause.values()) {
			line = line.with("refused_" + cause.name().toLowerCase(Locale.ROOT), counts.refused[cause.ordinal()]);
		}
		return line;
	}

	private Counts counts(String organisation) {
		return this.counts.computeIfAbsent(organisation, (key) -> new Counts());
	}

	/**
	 * The cause of a refusal.
	 */
	public enum Cause {

		/**
		 * The organisation has exceeded its share.
		 */
		SHARE,

		/**
		 * The response would begin too late.
		 */
		BUSY,

		/**
		 * The gateway reads requests too late.
		 */
		BEHIND,

		/**
		 * Any other cause.
		 */
		OTHER

	}

	/**
	 * The counts of one organisation.
	 */
	private static final class Counts {

		/**
		 * The number of requests sent to an upstream.
		 */
		private int admitted;

		/**
		 * The tokens of sent requests that the share covered.
		 */
		private long withinShareTokens;

		/**
		 * The tokens of sent requests that used spare capacity.
		 */
		private long spareCapacityTokens;

		/**
		 * The tokens of requests refused although the share covered them.
		 */
		private long refusedShareTokens;

		/**
		 * The number of refused requests by ordinal of their cause.
		 */
		private final int[] refused = new int[Cause.values().length];

		int refusals() {
			int sum = 0;
			for (int count : this.refused) {
				sum += count;
			}
			return sum;
		}

	}

}
