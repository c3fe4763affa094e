package org.ebonyford.placement;

import java.util.Optional;

/**
 * Estimates the present pace of an upstream from the newest pace that it stated to any
 * router. The load that it answers: machines that are shared with other work and change
 * their pace several times a second, faster than averages over answers follow. An
 * observation counts the less the older it is, as the pace may have changed since then.
 * Its weight is the square of the chance that the pace still holds, since a request that
 * is placed now runs for some time after. A pace better than usual counts as usual: all
 * routers would send there at once, and on the model it gained nothing.
 */
final class PresentPace {

	/**
	 * The greatest estimate, which limits the effect of a wrong statement.
	 */
	private static final double MAX_FACTOR = 12;

	/**
	 * The time in milliseconds after which a pace has changed: machines draw it anew this
	 * often.
	 */
	private static final double HOLD_MILLIS = 600;

	/**
	 * The time before which observations concern an earlier start of the upstream, in
	 * milliseconds.
	 */
	private final long startedAt;

	/**
	 * The newest observation, {@code null} before the first one.
	 */
	private PaceObservation newest;

	/**
	 * When the newest unusual pace was observed, in milliseconds.
	 */
	private long unusualAt = Long.MIN_VALUE / 2;

	PresentPace(long startedAt) {
		this.startedAt = startedAt;
	}

	/**
	 * Records an observation of this router or of another one.
	 * @param observation the observation, which is ignored if a newer one is known
	 */
	void record(PaceObservation observation) {
		if (observation.observedAt() < this.startedAt) {
			return;
		}
		this.newest = (this.newest != null) ? this.newest.newest(observation) : observation;
		if (observation.unusual()) {
			this.unusualAt = Math.max(this.unusualAt, observation.observedAt());
		}
	}

	/**
	 * Returns the expected pace at present.
	 * @param now the time in milliseconds
	 * @return the time that work takes as a multiple of the usual time, 1 if the upstream
	 * has stated nothing of late
	 */
	double factor(long now) {
		if (this.newest == null || !this.newest.valid(now)) {
			return 1;
		}
		double stated = Math.max(1, Math.min(this.newest.factor(), MAX_FACTOR));
		double holds = Math.max(0, 1 - Math.max(now - this.newest.observedAt(), 0) / HOLD_MILLIS);
		return 1 + holds * holds * (stated - 1);
	}

	/**
	 * Returns the observation that other routers need: the newest one, if the pace is
	 * unusual or was so of late. That it is usual again is news to a router that has
	 * heard otherwise.
	 * @param now the time in milliseconds
	 * @return the observation, or empty if the pace has been usual
	 */
	Optional<PaceObservation> update(long now) {
		return (now - this.unusualAt < PaceObservation.VALID_MILLIS) ? Optional.of(this.newest) : Optional.empty();
	}

}
