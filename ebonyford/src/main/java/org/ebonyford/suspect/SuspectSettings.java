package org.ebonyford.suspect;

/**
 * The settings of suspicion.
 *
 * @param blameThreshold the blame from which on a request is refused, where a crash of an
 * upstream that ran nothing else counts 1
 * @param minCrashes the number of crashes that a request must have taken part in to be
 * refused
 * @param suspicionMillis the milliseconds for which a suspected request is refused and
 * for which a crash is remembered
 * @param settleMillis the milliseconds that routers have to tell about a crash before it
 * is judged
 * @param maxRememberedCrashes the crashes that are remembered at most
 */
public record SuspectSettings(int blameThreshold, int minCrashes, long suspicionMillis, long settleMillis,
		int maxRememberedCrashes) {

	/**
	 * The settings of an operator who sets none.
	 */
	public static final SuspectSettings DEFAULT = new SuspectSettings(2, 2, 600_000L, 200L, 256);

	/**
	 * Creates settings.
	 * @throws IllegalArgumentException if a bound is not positive
	 */
	public SuspectSettings {
		if (blameThreshold < 1 || minCrashes < 1 || suspicionMillis < 1 || settleMillis < 0
				|| maxRememberedCrashes < 1) {
			throw new IllegalArgumentException("The settings of suspicion must be positive");
		}
	}

	/**
	 * Creates settings with another number of crashes.
	 * @param threshold the blame from which on a request is refused
	 * @return the settings
	 */
	public SuspectSettings withBlameThreshold(int threshold) {
		return new SuspectSettings(threshold, this.minCrashes, this.suspicionMillis, this.settleMillis,
				this.maxRememberedCrashes);
	}

	/**
	 * Creates settings with another count.
	 * @param min the number of crashes that a request must have taken part in
	 * @return the settings
	 */
	public SuspectSettings withMinCrashes(int min) {
		return new SuspectSettings(this.blameThreshold, min, this.suspicionMillis, this.settleMillis,
				this.maxRememberedCrashes);
	}

	/**
	 * Creates settings with another time.
	 * @param millis the milliseconds for which a suspected request is refused
	 * @return the settings
	 */
	public SuspectSettings withSuspicionMillis(long millis) {
		return new SuspectSettings(this.blameThreshold, this.minCrashes, millis, this.settleMillis,
				this.maxRememberedCrashes);
	}

}
