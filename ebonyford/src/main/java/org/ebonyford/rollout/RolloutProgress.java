package org.ebonyford.rollout;

import java.util.Objects;

/**
 * How far the roll-out of an order is, as it is saved in the store.
 *
 * @param order the order
 * @param phase the phase
 * @param share the part of new requests that goes to the target, from 0 to 1
 * @param orderedAtMillis when the order was first seen, as Unix time in milliseconds
 * @param step the number of changes since the order was first seen. A record with a lower
 * number is an older one.
 * @param reason why the phase was entered, with the evidence, for operators
 */
public record RolloutProgress(RolloutOrder order, RolloutPhase phase, double share, long orderedAtMillis, long step,
		String reason) {

	/**
	 * Creates progress.
	 * @throws IllegalArgumentException if a number is out of its range
	 */
	public RolloutProgress {
		Objects.requireNonNull(order, "order");
		Objects.requireNonNull(phase, "phase");
		Objects.requireNonNull(reason, "reason");
		if (!(share >= 0 && share <= 1) || step < 0) {
			throw new IllegalArgumentException("The share or the step is out of range: " + share + ", " + step);
		}
	}

	/**
	 * Returns the progress of an order that was just seen.
	 * @param order the order
	 * @param share the part of new requests that goes to the target
	 * @param wallMillis the current Unix time in milliseconds
	 * @return the first progress
	 */
	public static RolloutProgress begun(RolloutOrder order, double share, long wallMillis) {
		return new RolloutProgress(order, RolloutPhase.CANARY, share, wallMillis, 0, "ordered");
	}

	/**
	 * Returns the next progress.
	 * @param newPhase the phase
	 * @param newShare the part of new requests that goes to the target
	 * @param newReason the reason, with the evidence
	 * @return the progress
	 */
	public RolloutProgress next(RolloutPhase newPhase, double newShare, String newReason) {
		return new RolloutProgress(this.order, newPhase, newShare, this.orderedAtMillis, this.step + 1, newReason);
	}

}
