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
 * Counts what became of each organisation's requests at this gateway since the last
 * lines, so that a few lines a second tell who was refused and why, also where more
 * requests are refused than are logged.
 */
public final class RefusalTally {

	/**
	 * The greatest number of organisations that are told of at a time, those with the
	 * most refusals.
	 */
	private static final int MAX_LINES = 4;

	/**
	 * The counts by organisation; requests that are refused before their organisation is
	 * known count for the empty name.
	 */
	private final Map<String, Counts> counts = new HashMap<>();

	/**
	 * Notes that a request was sent to an upstream.
	 * @param organisation its organisation
	 * @param withinShare whether its organisation's share covers it, so that it does not
	 * only fill room that is left
	 * @param tokens its tokens
	 */
	public void admitted(String organisation, boolean withinShare, long tokens) {
		Counts counts = counts(organisation);
		counts.admitted++;
		counts.withinShareTokens += withinShare ? tokens : 0;
		counts.spareCapacityTokens += withinShare ? 0 : tokens;
	}

	/**
	 * Notes that a request was refused.
	 * @param organisation its organisation, empty if it is not known
	 * @param cause why
	 * @param refusedShareTokens its tokens if its organisation's share covered it, else 0
	 */
	public void refused(String organisation, Cause cause, long refusedShareTokens) {
		Counts counts = counts(organisation);
		counts.refused[cause.ordinal()]++;
		counts.refusedShareTokens += refusedShareTokens;
	}

	/**
	 * Returns lines on the organisations that were refused, and begins anew.
	 * @param standings what each organisation lately got of all gateways
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
	 * Why a request was refused.
	 */
	public enum Cause {

		/**
		 * Its organisation is beyond its share.
		 */
		SHARE,

		/**
		 * Its answer would begin too late.
		 */
		BUSY,

		/**
		 * The gateway reads requests late.
		 */
		BEHIND,

		/**
		 * Any other cause.
		 */
		OTHER

	}

	/**
	 * What became of an organisation's requests.
	 */
	private static final class Counts {

		/**
		 * The requests that were sent.
		 */
		private int admitted;

		/**
		 * The tokens of those that their organisation's share covered.
		 */
		private long withinShareTokens;

		/**
		 * The tokens of those that filled room that was left.
		 */
		private long spareCapacityTokens;

		/**
		 * The tokens of requests that were refused though the share covered them.
		 */
		private long refusedShareTokens;

		/**
		 * The requests that were refused, by cause.
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
