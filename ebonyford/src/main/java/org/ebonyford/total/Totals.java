package org.ebonyford.total;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BinaryOperator;

import org.ebonyford.placement.Load;
import org.ebonyford.placement.PaceTotals;
import org.ebonyford.share.Usage;

/**
 * What some routers have put on upstreams and were asked for by organisations.
 *
 * @param sources the number of routers
 * @param measuredAt when the oldest part of it was measured, in milliseconds
 * @param loads the load on upstreams by the short hash of their identifier
 * @param usages what organisations asked for and got, by the hash of their name
 * @param paces what was learned of how fast upstreams work, by the hash of their service
 */
public record Totals(int sources, long measuredAt, Map<Integer, Load> loads, Map<Integer, Usage> usages,
		Map<Integer, PaceTotals> paces) {

	/**
	 * The totals of no router.
	 */
	public static final Totals NONE = new Totals(0, Long.MAX_VALUE, Map.of(), Map.of(), Map.of());

	/**
	 * The part of the routers that were heard lately which totals have to cover to be
	 * better than the routers' own reports: a few reports are always lost.
	 */
	private static final double MIN_COVERED_FRACTION = 0.9;

	/**
	 * Creates totals.
	 */
	public Totals {
		loads = Map.copyOf(loads);
		usages = Map.copyOf(usages);
		paces = Map.copyOf(paces);
	}

	/**
	 * Adds the totals of other routers.
	 * @param other the totals of others
	 * @return the sums
	 */
	public Totals plus(Totals other) {
		return new Totals(this.sources + other.sources, Math.min(this.measuredAt, other.measuredAt),
				merge(this.loads, other.loads, Load::plus), merge(this.usages, other.usages, Usage::plus),
				merge(this.paces, other.paces, PaceTotals::plus));
	}

	/**
	 * Leaves out the totals of some of the routers.
	 * @param part their totals, which are contained in these
	 * @return the differences
	 */
	public Totals minus(Totals part) {
		return new Totals(this.sources - part.sources, this.measuredAt,
				subtract(this.loads, part.loads, Load::minus, Load.NONE),
				subtract(this.usages, part.usages, Usage::minus, Usage.NONE),
				subtract(this.paces, part.paces, PaceTotals::minus, PaceTotals.NONE));
	}

	Totals measuredAt(long oldest) {
		return new Totals(this.sources, oldest, this.loads, this.usages, this.paces);
	}

	/**
	 * Returns whether the totals leave out hardly any of the routers that were heard
	 * lately.
	 * @param liveRouters the number of these routers
	 * @return {@code true} if they are to be used
	 */
	public boolean covers(int liveRouters) {
		return this.sources >= liveRouters * MIN_COVERED_FRACTION;
	}

	private static <V> Map<Integer, V> merge(Map<Integer, V> first, Map<Integer, V> second, BinaryOperator<V> merger) {
		Map<Integer, V> merged = new HashMap<>(first);
		second.forEach((key, value) -> merged.merge(key, value, merger));
		return merged;
	}

	private static <V> Map<Integer, V> subtract(Map<Integer, V> whole, Map<Integer, V> part,
			BinaryOperator<V> subtraction, V zero) {
		Map<Integer, V> remainder = new HashMap<>(whole);
		part.forEach((key, value) -> remainder.computeIfPresent(key, (same, all) -> {
			V difference = subtraction.apply(all, value);
			return difference.equals(zero) ? null : difference;
		}));
		return remainder;
	}

}
