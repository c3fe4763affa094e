package org.ebonyford.suspect;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.ebonyford.identity.Fingerprint;

/**
 * Divides the blame for each crash among the requests that were running on the upstream.
 * A request that was part of several crashes has a weight of the third power of their
 * number, which is first reduced in proportion to the crashes that happened without the
 * request since its first one. So the request that is part of every crash outweighs
 * requests that were part of one, and requests that were retried from one crash into the
 * next.
 */
final class BlameWeights {

	/**
	 * How long before the first crash with a request other crashes count as background,
	 * in milliseconds. They show that upstreams crash without the request, too.
	 */
	private static final long BACKGROUND_WINDOW_MILLIS = 60_000;

	/**
	 * The maximum time in milliseconds between crashes that count as one: when a rack or
	 * a data centre fails, its upstreams crash within that time.
	 */
	private static final long COMMON_CAUSE_MILLIS = 1_500;

	/**
	 * The crashes, the oldest first.
	 */
	private final List<Crash> crashes;

	/**
	 * The number of crashes that each request was part of.
	 */
	private final Map<Fingerprint, Integer> crashCounts = new HashMap<>();

	/**
	 * The index of the first crash that each request was part of.
	 */
	private final Map<Fingerprint, Integer> firstCrashIndexes = new HashMap<>();

	/**
	 * The total weight of all requests of each crash, including those whose fingerprints
	 * are not known.
	 */
	private final Map<Crash, Double> totalWeights = new HashMap<>();

	/**
	 * Computes the weights.
	 * @param crashes the crashes, the oldest first
	 */
	BlameWeights(Collection<Crash> crashes) {
		this.crashes = new ArrayList<>(crashes);
		for (int index = 0; index < this.crashes.size(); index++) {
			for (Fingerprint request : this.crashes.get(index).requests()) {
				this.crashCounts.merge(request, 1, Integer::sum);
				this.firstCrashIndexes.putIfAbsent(request, index);
			}
		}
		for (Crash crash : this.crashes) {
			this.totalWeights.put(crash,
					crash.unidentifiedCount() + crash.requests().stream().mapToDouble(this::weight).sum());
		}
	}

	/**
	 * Returns whether a request weighs more than all others of a crash together.
	 * @param request the request
	 * @param crash the crash
	 * @return {@code true} if it outweighs them
	 */
	boolean outweighs(Fingerprint request, Crash crash) {
		return 2 * weight(request) > this.totalWeights.get(crash);
	}

	/**
	 * Returns the total blame of a request.
	 * @param request the request
	 * @return the blame; a crash of an upstream that ran only this request counts 1
	 */
	double blame(Fingerprint request) {
		return this.crashes.stream()
			.filter((crash) -> crash.requests().contains(request))
			.mapToDouble((crash) -> weight(request) / this.totalWeights.get(crash))
			.sum();
	}

	/**
	 * Returns the number of crashes without a request per crash with it. Crashes without
	 * it count from {@link #BACKGROUND_WINDOW_MILLIS} before the first crash with it.
	 * @param request the request
	 * @return the ratio, large if upstreams crash regardless of the request
	 */
	double backgroundCrashRatio(Fingerprint request) {
		long firstMillis = this.crashes.get(this.firstCrashIndexes.get(request)).knownAtMillis();
		return countCrashesWithout(request, firstMillis - BACKGROUND_WINDOW_MILLIS)
				/ (double) this.crashCounts.get(request);
	}

	private double weight(Fingerprint request) {
		int count = this.crashCounts.get(request);
		if (count == 1) {
			return 1;
		}
		int crashesWithout = countCrashesWithout(request,
				this.crashes.get(this.firstCrashIndexes.get(request)).knownAtMillis());
		double discountedCount = count * count / (double) (count + crashesWithout);
		return Math.max(discountedCount * discountedCount * discountedCount, 1);
	}

	/**
	 * Counts the crashes without a request. Crashes within {@link #COMMON_CAUSE_MILLIS}
	 * of the previous one have the same cause and are not counted again.
	 * @param request the request
	 * @param sinceMillis the clock reading in milliseconds from which crashes count
	 * @return the number
	 */
	private int countCrashesWithout(Fingerprint request, long sinceMillis) {
		int count = 0;
		long lastMillis = Long.MIN_VALUE / 2;
		for (Crash crash : this.crashes) {
			if (crash.knownAtMillis() >= sinceMillis && !crash.requests().contains(request)) {
				count += (crash.knownAtMillis() - lastMillis > COMMON_CAUSE_MILLIS) ? 1 : 0;
				lastMillis = crash.knownAtMillis();
			}
		}
		return count;
	}

}
