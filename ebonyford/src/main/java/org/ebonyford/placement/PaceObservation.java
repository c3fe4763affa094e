package org.ebonyford.placement;

/**
 * A pace that an upstream stated in the head of an answer.
 *
 * @param factor the time that work took there as a multiple of the usual time
 * @param observedAt when the answer was received, in milliseconds
 */
public record PaceObservation(double factor, long observedAt) {

	/**
	 * The age in milliseconds from which an observation is ignored. The pace of machines
	 * that are shared with other work changes several times a second, so that an older
	 * observation tells nothing about the present.
	 */
	public static final long VALID_MILLIS = 1_000;

	/**
	 * The excess over the usual time up to which an observation counts as usual. A tenth
	 * of the time to the first byte changes no placement that matters.
	 */
	private static final double USUAL_TOLERANCE = 0.1;

	/**
	 * Returns whether work takes longer than usual.
	 * @return {@code true} if it changes a placement
	 */
	public boolean unusual() {
		return this.factor > 1 + USUAL_TOLERANCE;
	}

	/**
	 * Returns whether the observation is still used.
	 * @param now the time in milliseconds
	 * @return {@code true} until it is too old
	 */
	public boolean valid(long now) {
		return now - this.observedAt < VALID_MILLIS;
	}

	/**
	 * Returns the same observation on another clock.
	 * @param millis the difference of the clocks in milliseconds
	 * @return the observation
	 */
	public PaceObservation later(long millis) {
		return new PaceObservation(this.factor, this.observedAt + millis);
	}

	/**
	 * Returns the more recent of two observations of the same upstream.
	 * @param other the other observation
	 * @return the one that was observed last; of two at the same time the slower one, so
	 * that all routers choose the same one
	 */
	public PaceObservation newest(PaceObservation other) {
		if (this.observedAt == other.observedAt) {
			return (this.factor >= other.factor) ? this : other;
		}
		return (this.observedAt > other.observedAt) ? this : other;
	}

}
