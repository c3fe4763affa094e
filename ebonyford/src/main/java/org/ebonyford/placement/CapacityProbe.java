package org.ebonyford.placement;

/**
 * Limits how often the engines are probed for capacity on behalf of organisations that
 * ask for more than their share. A probe tries to place one request and is most of the
 * cost of a rejection; under heavy overload, a router on a small VM that probes for every
 * request cannot keep up with its callers. While probes succeed, every request probes;
 * after a rejection, only one per interval does.
 */
public final class CapacityProbe {

	/**
	 * The probe interval in milliseconds for requests that do not have their turn: it
	 * finds a lightly loaded engine within a fraction of the shortest latency target.
	 */
	private static final long SPARE_CAPACITY_INTERVAL_MILLIS = 50;

	/**
	 * The probe interval in milliseconds for requests that have their turn: a few probes
	 * for each request that an engine completes.
	 */
	private static final long TURN_INTERVAL_MILLIS = 10;

	/**
	 * The minimum factor on the interval, used for organisations that have got nothing.
	 * Probes then take a fifth of a small VM.
	 */
	private static final double MIN_INTERVAL_FACTOR = 0.2;

	/**
	 * The probe interval in milliseconds at full use of the share.
	 */
	private final long intervalMillis;

	/**
	 * The time of the last probe, in milliseconds.
	 */
	private long probedAt;

	/**
	 * Whether the request of the last probe was admitted.
	 */
	private boolean admitted;

	private CapacityProbe(long intervalMillis) {
		this.intervalMillis = intervalMillis;
		this.probedAt = -intervalMillis;
	}

	/**
	 * Creates a probe for requests that do not have their turn.
	 * @return the probe
	 */
	public static CapacityProbe forSpareCapacity() {
		return new CapacityProbe(SPARE_CAPACITY_INTERVAL_MILLIS);
	}

	/**
	 * Creates a probe for requests that have their turn and keep it if no engine takes
	 * them.
	 * @return the probe
	 */
	public static CapacityProbe forTurns() {
		return new CapacityProbe(TURN_INTERVAL_MILLIS);
	}

	/**
	 * Returns whether a request should probe the engines. The less of its share an
	 * organisation has used, the shorter its interval, so that it finds room before the
	 * organisations that have had their share.
	 * @param usedShare the fraction of its share that the organisation has used
	 * @param now the time in milliseconds
	 * @return {@code false} if a request was rejected within the interval
	 */
	public boolean due(double usedShare, long now) {
		double factor = Math.max(MIN_INTERVAL_FACTOR, Math.min(usedShare * usedShare, 1));
		return this.admitted || now - this.probedAt >= this.intervalMillis * factor;
	}

	/**
	 * Records the result of a probe.
	 * @param wasAdmitted whether the request was admitted
	 * @param now the time in milliseconds
	 */
	public void recordResult(boolean wasAdmitted, long now) {
		this.admitted = wasAdmitted;
		this.probedAt = now;
	}

}
