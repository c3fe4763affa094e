package org.ebonyford.suspect;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.ebonyford.identity.Fingerprint;

/**
 * How the blame of crashes is shared among the requests that took part in them. A request
 * weighs as much as the third power of the crashes that it took part in, less in the
 * proportion of those that happened without it since its first one. So the request that
 * is always there outweighs those that were there once, and those that were sent from one
 * crash into the next.
 */
final class BlameWeights {

	/**
	 * How long in milliseconds before the first crash with a request others without it
	 * show that upstreams crash anyway.
	 */
	private static final long BACKGROUND_WINDOW_MILLIS = 60_000;

	/**
	 * The time in milliseconds between two crashes that count as one: a rack or a data
	 * centre that fails takes its upstreams with it within that time.
	 */
	private static final long COMMON_CAUSE_MILLIS = 1_500;

	/**
	 * The crashes, the oldest first.
	 */
	private final List<Crash> crashes;

	/**
	 * The number of crashes that each request took part in.
	 */
	private final Map<Fingerprint, Integer> crashCounts = new HashMap<>();

	/**
	 * The place of the first crash that each request took part in.
	 */
	private final Map<Fingerprint, Integer> firstCrashIndexes = new HashMap<>();

	/**
	 * What all requests of a crash weigh together.
	 */
	private final Map<Crash, Double> totalWeights = new HashMap<>();

	/**
	 * Shares the blame.
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
	 * Returns the blame that is laid on a request.
	 * @param request the request
	 * @return the blame, where a crash of an upstream that ran nothing else counts 1
	 */
	double blame(Fingerprint request) {
		return this.crashes.stream()
			.filter((crash) -> crash.requests().contains(request))
			.mapToDouble((crash) -> weight(request) / this.totalWeights.get(crash))
			.sum();
	}

	/**
	 * Returns how often upstreams crashed without a request, from a while before the
	 * first one that crashed with it, for each that crashed with it.
	 * @param request the request
	 * @return the ratio, large if upstreams crash whether or not they run it
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
	 * Counts how often upstreams crashed without a request. Those that crash together
	 * have one cause and count once.
	 * @param request the request
	 * @param sinceMillis the clock reading in milliseconds from which on crashes count
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
