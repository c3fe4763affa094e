package org.ebonyford.total;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BinaryOperator;

import org.ebonyford.placement.Load;
import org.ebonyford.placement.PaceObservation;
import org.ebonyford.placement.PaceTotals;
import org.ebonyford.share.Usage;

/**
 * Sums of upstream load, organisations' usage and upstream speed over some of the
 * routers.
 *
 * @param sources the number of routers
 * @param measuredAt when the oldest part was measured, in milliseconds
 * @param loads the load on upstreams by the short hash of their identifier
 * @param usages the tokens that organisations requested and were served, by the hash of
 * their name
 * @param paces the measured speed of upstreams by the hash of their service
 * @param statedPaces the newest paces that upstreams stated to one of the routers, by the
 * short hash of their identifier, without those that are usual
 */
public record Totals(int sources, long measuredAt, Map<Integer, Load> loads, Map<Integer, Usage> usages,
		Map<Integer, PaceTotals> paces, Map<Integer, PaceObservation> statedPaces) {

	/**
	 * The totals of no router.
	 */
	public static final Totals NONE = new Totals(0, Long.MAX_VALUE, Map.of(), Map.of(), Map.of());

	/**
	 * The minimum fraction of the live routers that totals must cover to be better than
	 * the routers' own reports, of which a few are always lost.
	 */
	private static final double MIN_COVERED_FRACTION = 0.9;

	/**
	 * Creates totals.
	 */
	public Totals {
		loads = Map.copyOf(loads);
		usages = Map.copyOf(usages);
		paces = Map.copyOf(paces);
		statedPaces = Map.copyOf(statedPaces);
	}

	/**
	 * Creates totals without stated paces.
	 * @param sources the number of routers
	 * @param measuredAt when the oldest part was measured, in milliseconds
	 * @param loads the load on upstreams by the short hash of their identifier
	 * @param usages the tokens that organisations requested and were served, by the hash
	 * of their name
	 * @param paces the measured speed of upstreams by the hash of their service
	 */
	public Totals(int sources, long measuredAt, Map<Integer, Load> loads, Map<Integer, Usage> usages,
			Map<Integer, PaceTotals> paces) {
		this(sources, measuredAt, loads, usages, paces, Map.of());
	}

	/**
	 * Adds the totals of other routers.
	 * @param other the totals of the other routers
	 * @return the sums
	 */
	public Totals plus(Totals other) {
		return new Totals(this.sources + other.sources, Math.min(this.measuredAt, other.measuredAt),
				merge(this.loads, other.loads, Load::plus), merge(this.usages, other.usages, Usage::plus),
				merge(this.paces, other.paces, PaceTotals::plus),
				merge(this.statedPaces, other.statedPaces, PaceObservation::newest));
	}

	/**
	 * Subtracts the totals of some of the routers. Stated paces stay: they are no sums,
	 * and the newest is true whoever observed it.
	 * @param part their totals, which are contained in these
	 * @return the differences
	 */
	public Totals minus(Totals part) {
		return new Totals(this.sources - part.sources, this.measuredAt,
				subtract(this.loads, part.loads, Load::minus, Load.NONE),
				subtract(this.usages, part.usages, Usage::minus, Usage.NONE),
				subtract(this.paces, part.paces, PaceTotals::minus, PaceTotals.NONE), this.statedPaces);
	}

	Totals measuredAt(long oldest) {
		return new Totals(this.sources, oldest, this.loads, this.usages, this.paces, this.statedPaces);
	}

	/**
	 * Removes the stated paces that are too old.
	 * @param now the time in milliseconds
	 * @return the totals without them
	 */
	Totals withoutInvalidPaces(long now) {
		if (this.statedPaces.values().stream().allMatch((pace) -> pace.valid(now))) {
			return this;
		}
		Map<Integer, PaceObservation> valid = new HashMap<>(this.statedPaces);
		valid.values().removeIf((pace) -> !pace.valid(now));
		return new Totals(this.sources, this.measuredAt, this.loads, this.usages, this.paces, valid);
	}

	/**
	 * Returns whether the totals cover nearly all live routers.
	 * @param liveRouters the number of routers from which a message was received recently
	 * @return {@code true} if the totals are to be used
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
