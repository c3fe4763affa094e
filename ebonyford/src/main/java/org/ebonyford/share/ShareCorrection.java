package org.ebonyford.share;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Corrects the fraction of an organisation's requests that is admitted, by feedback from
 * the tokens that it was served by all routers relative to its share. It compensates for
 * whatever makes admitted requests succeed less often at one router than at another:
 * engines that are full at that moment, a lagging router, exhausted connections. All
 * routers compute it from the same totals.
 */
final class ShareCorrection {

	/**
	 * The change of a factor's logarithm per second for each unit by which the logarithm
	 * of the served tokens differs from that of the share. Totals are half a second old
	 * and counted over one second, so a larger gain would oscillate.
	 */
	private static final double GAIN_PER_SECOND = 0.8;

	/**
	 * The age of totals in milliseconds up to which the full gain is used. For older
	 * totals it decreases in proportion, as the effect of a correction is seen later.
	 */
	private static final double FULL_GAIN_AGE_MILLIS = 700;

	/**
	 * How many times as fast a factor returns to 1 after it has overcorrected.
	 */
	private static final double RETURN_GAIN_FACTOR = 2;

	/**
	 * The maximum difference of logarithms that is used, so that one second without
	 * served tokens does not count for many.
	 */
	private static final double MAX_LOG_DIFFERENCE = 1.5;

	/**
	 * The maximum factor. At the worst router that still serves, admitted requests
	 * succeed up to this many times less often.
	 */
	private static final double MAX_FACTOR = 8;

	/**
	 * The minimum factor for an organisation that was served more than its share.
	 */
	private static final double MIN_FACTOR = 0.25;

	/**
	 * The maximum time between two updates that is used, in milliseconds.
	 */
	private static final long MAX_UPDATE_INTERVAL_MILLIS = 500;

	/**
	 * The factors by the hash of the organisation.
	 */
	private final Map<Integer, Double> factors = new HashMap<>();

	/**
	 * When the factors were last updated, in milliseconds, negative before the first
	 * update.
	 */
	private long updatedAt = -1;

	/**
	 * Compares the tokens that organisations were recently served with their share.
	 * @param totals the usage at all routers by the hash of the organisation
	 * @param level the recent share, in tokens, of an organisation that asks for more,
	 * infinite if all demands were met
	 * @param ageMillis the age of the oldest part of the totals in milliseconds
	 * @param now the time in milliseconds
	 */
	void update(Map<Integer, Usage> totals, double level, long ageMillis, long now) {
		double gain = GAIN_PER_SECOND * Math.min(1, FULL_GAIN_AGE_MILLIS / Math.max(ageMillis, 1));
		double seconds = (this.updatedAt < 0) ? 0
				: Math.min(now - this.updatedAt, MAX_UPDATE_INTERVAL_MILLIS) / 1_000.0;
		this.updatedAt = now;
		this.factors.keySet().retainAll(totals.keySet());
		totals.forEach((organisation, usage) -> {
			double before = this.factors.getOrDefault(organisation, 1.0);
			double after = before * Math.exp(gain * seconds * logDifference(usage, level, before));
			this.factors.put(organisation, Math.max(MIN_FACTOR, Math.min(after, MAX_FACTOR)));
		});
		avoidReducingAll(totals, level);
	}

	/**
	 * Scales up the factors of organisations that ask for more than their share until one
	 * of them is at least 1: reducing all of them benefits nobody and leaves engines
	 * idle.
	 * @param totals the usage at all routers by the hash of the organisation
	 * @param level the share in tokens
	 */
	private void avoidReducingAll(Map<Integer, Usage> totals, double level) {
		List<Integer> limited = totals.keySet()
			.stream()
			.filter((organisation) -> totals.get(organisation).recentlyRequestedTokens() > level)
			.toList();
		double maxFactor = limited.stream()
			.mapToDouble((organisation) -> this.factors.getOrDefault(organisation, 1.0))
			.max()
			.orElse(1);
		if (maxFactor < 1) {
			limited.forEach(
					(organisation) -> this.factors.computeIfPresent(organisation, (key, factor) -> factor / maxFactor));
		}
	}

	/**
	 * Returns by how much the logarithm of a factor is to change.
	 * @param usage the usage of the organisation
	 * @param level its share in tokens
	 * @param factor the current factor
	 * @return the difference of logarithms
	 */
	private static double logDifference(Usage usage, double level, double factor) {
		if (usage.recentlyRequestedTokens() <= level) {
			return -Math.log(factor);
		}
		double missing = Math.log(level / Math.max(usage.recentlyServedTokens(), 1));
		double bounded = Math.max(-MAX_LOG_DIFFERENCE, Math.min(missing, MAX_LOG_DIFFERENCE));
		return (bounded < 0 == factor > 1) ? bounded * RETURN_GAIN_FACTOR : bounded;
	}

	/**
	 * Returns the factor for the fraction of an organisation's requests that its share
	 * covers. The more engines are idle, the less a factor below 1 reduces the fraction.
	 * @param organisation the hash of the organisation
	 * @param idleFraction the idle fraction of the engines' unstrained capacity, from 0
	 * to 1
	 * @return the factor
	 */
	double factor(int organisation, double idleFraction) {
		double factor = this.factors.getOrDefault(organisation, 1.0);
		return (factor < 1) ? Math.pow(factor, 1 - idleFraction) : factor;
	}

}
