package org.ebonyford.placement;

/**
 * Remembers whether an engine lately took requests of organisations that ask for more
 * than their share. It answers the load of far more requests than can be served, each of
 * which would be placed only to be refused: a look at the engines costs most of a
 * refusal, and on a small VM that is what makes it fall behind its callers.
 */
public final class CapacityProbe {

	/**
	 * The time in milliseconds after which the engines are looked at again for a request
	 * without a turn: a calm one is found within a part of the shortest latency targets.
	 */
	private static final long SPARE_CAPACITY_INTERVAL_MILLIS = 50;

	/**
	 * The time in milliseconds after which the engines are looked at again for a request
	 * that has its turn: a few times as often as an engine ends one.
	 */
	private static final long TURN_INTERVAL_MILLIS = 10;

	/**
	 * The part of that time after which the engines are looked at again for who has got
	 * nothing: looks take a fifth of a small VM then.
	 */
	private static final double MIN_INTERVAL_FACTOR = 0.2;

	/**
	 * The time in milliseconds after which the engines are looked at again.
	 */
	private final long intervalMillis;

	/**
	 * When the engines were last looked at, in milliseconds.
	 */
	private long probedAt;

	/**
	 * Whether one took the request then.
	 */
	private boolean admitted;

	private CapacityProbe(long intervalMillis) {
		this.intervalMillis = intervalMillis;
		this.probedAt = -intervalMillis;
	}

	/**
	 * Creates a watch for requests that are not their organisation's turn.
	 * @return the watch
	 */
	public static CapacityProbe forSpareCapacity() {
		return new CapacityProbe(SPARE_CAPACITY_INTERVAL_MILLIS);
	}

	/**
	 * Creates a watch for requests whose turn it is, and stays if no engine takes them.
	 * @return the watch
	 */
	public static CapacityProbe forTurns() {
		return new CapacityProbe(TURN_INTERVAL_MILLIS);
	}

	/**
	 * Returns whether an engine may take a request of an organisation that has got a part
	 * of its share. The less it has got, the sooner the engines are looked at again for
	 * it, so that it finds room before those that have got theirs.
	 * @param usedShare the part of its share that the organisation has used
	 * @param now the time in milliseconds
	 * @return {@code false} if none did a moment ago
	 */
	public boolean due(double usedShare, long now) {
		double factor = Math.max(MIN_INTERVAL_FACTOR, Math.min(usedShare * usedShare, 1));
		return this.admitted || now - this.probedAt >= this.intervalMillis * factor;
	}

	/**
	 * Notes what a request found.
	 * @param wasAdmitted whether it was taken
	 * @param now the time in milliseconds
	 */
	public void recordResult(boolean wasAdmitted, long now) {
		this.admitted = wasAdmitted;
		this.probedAt = now;
	}

}
