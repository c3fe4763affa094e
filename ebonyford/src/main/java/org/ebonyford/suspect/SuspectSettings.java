package org.ebonyford.suspect;

/**
 * Settings of {@link SuspectTracker}.
 *
 * @param blameThreshold the minimum blame for which a request is refused; a crash of an
 * upstream that ran only this request counts 1
 * @param minCrashes the minimum number of crashes that a request was part of before it is
 * refused
 * @param suspicionMillis how long a suspected request is refused and a crash is
 * remembered, in milliseconds
 * @param settleMillis how long other routers have to report a crash before it is
 * evaluated, in milliseconds
 * @param maxRememberedCrashes the maximum number of crashes that are remembered
 */
public record SuspectSettings(int blameThreshold, int minCrashes, long suspicionMillis, long settleMillis,
		int maxRememberedCrashes) {

	/**
	 * The settings that apply where the operator sets none.
	 */
	public static final SuspectSettings DEFAULT = new SuspectSettings(2, 2, 600_000L, 200L, 256);

	/**
	 * Creates settings.
	 * @throws IllegalArgumentException if {@code settleMillis} is negative or another
	 * value is not positive
	 */
	public SuspectSettings {
		if (blameThreshold < 1 || minCrashes < 1 || suspicionMillis < 1 || settleMillis < 0
				|| maxRememberedCrashes < 1) {
			throw new IllegalArgumentException(
					"settleMillis must be at least 0 and the other suspect settings at least 1");
		}
	}

	/**
	 * Returns a copy with another blame threshold.
	 * @param threshold the minimum blame for which a request is refused
	 * @return the settings
	 */
	public SuspectSettings withBlameThreshold(int threshold) {
		return new SuspectSettings(threshold, this.minCrashes, this.suspicionMillis, this.settleMillis,
				this.maxRememberedCrashes);
	}

	/**
	 * Returns a copy with another minimum number of crashes.
	 * @param min the minimum number of crashes that a request was part of before it is
	 * refused
	 * @return the settings
	 */
	public SuspectSettings withMinCrashes(int min) {
		return new SuspectSettings(this.blameThreshold, min, this.suspicionMillis, this.settleMillis,
				this.maxRememberedCrashes);
	}

	/**
	 * Returns a copy with another suspicion time.
	 * @param millis how long a suspected request is refused and a crash is remembered, in
	 * milliseconds
	 * @return the settings
	 */
	public SuspectSettings withSuspicionMillis(long millis) {
		return new SuspectSettings(this.blameThreshold, this.minCrashes, millis, this.settleMillis,
				this.maxRememberedCrashes);
	}

}
