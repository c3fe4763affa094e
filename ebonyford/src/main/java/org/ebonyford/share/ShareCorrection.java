package org.ebonyford.share;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Corrects which part of an organisation's requests is let through by what it got of all
 * routers beside its share of what all got. It answers whatever makes turns worth less at
 * one router than at another: engines that are full when it looks, a router that is late,
 * connections that are used up. All routers compute it from the same totals.
 */
final class ShareCorrection {

	/**
	 * By how much the logarithm of a factor changes in a second for each unit by which
	 * that of what was got differs from that of the share. Totals are half a second old
	 * and counted over one second, so a larger gain would swing.
	 */
	private static final double GAIN_PER_SECOND = 0.8;

	/**
	 * The age of totals in milliseconds up to which that gain is used. Of older ones it
	 * is less in proportion, as what comes of it is seen later.
	 */
	private static final double FULL_GAIN_AGE_MILLIS = 700;

	/**
	 * How many times as fast a factor returns that has corrected too much.
	 */
	private static final double RETURN_GAIN_FACTOR = 2;

	/**
	 * The greatest difference of logarithms that counts, so that one second without
	 * anything does not count for many.
	 */
	private static final double MAX_LOG_DIFFERENCE = 1.5;

	/**
	 * The greatest factor: as many times as turns can be worth less at the worst router
	 * that still serves.
	 */
	private static final double MAX_FACTOR = 8;

	/**
	 * The least factor, to which one that got more is held back for others.
	 */
	private static final double MIN_FACTOR = 0.25;

	/**
	 * The longest time in milliseconds that counts between two updates.
	 */
	private static final long MAX_UPDATE_INTERVAL_MILLIS = 500;

	/**
	 * The factors by the hash of the organisation.
	 */
	private final Map<Integer, Double> factors = new HashMap<>();

	/**
	 * When the factors were updated, in milliseconds, negative before that.
	 */
	private long updatedAt = -1;

	/**
	 * Compares what organisations got lately with their share.
	 * @param totals what all routers saw, by the hash of the organisation
	 * @param level the tokens that an organisation which asks for more should have got
	 * lately, infinite if all got what they asked for
	 * @param ageMillis the age of the oldest part of the totals, in milliseconds
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
	 * Raises the factors of those that ask for more than their share until one of them is
	 * at least 1: where all are held back, it is for nobody, and engines are left idle.
	 * @param totals what all routers saw, by the hash of the organisation
	 * @param level the share
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
	 * @param usage what the organisation asked for and got
	 * @param level its share
	 * @param factor the factor
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
	 * Returns how many times as large a part of an organisation's requests is let through
	 * as its share covers. Nobody is held back for the sake of engines that are idle.
	 * @param organisation the hash of the organisation
	 * @param idleFraction the part of what the engines run without strain that they do
	 * not run, from 0 to 1
	 * @return the factor
	 */
	double factor(int organisation, double idleFraction) {
		double factor = this.factors.getOrDefault(organisation, 1.0);
		return (factor < 1) ? Math.pow(factor, 1 - idleFraction) : factor;
	}

}
