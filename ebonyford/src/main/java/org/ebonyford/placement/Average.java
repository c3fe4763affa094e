package org.ebonyford.placement;

/**
 * An exponentially weighted average.
 */
public final class Average {

	/**
	 * The weight of a new value.
	 */
	private final double weight;

	/**
	 * The average.
	 */
	private double value;

	/**
	 * Creates an average.
	 * @param initial the value before any is known
	 * @param weight the weight of a new value, from 0 to 1
	 */
	public Average(double initial, double weight) {
		this.value = initial;
		this.weight = weight;
	}

	/**
	 * Adds a value.
	 * @param added the value
	 */
	public void add(double added) {
		this.value += this.weight * (added - this.value);
	}

	/**
	 * Moves the average towards a value as time passes.
	 * @param target the value
	 * @param part the part of the way, from 0 to 1
	 */
	public void decay(double target, double part) {
		this.value += part * (target - this.value);
	}

	/**
	 * Returns the average.
	 * @return the average
	 */
	public double value() {
		return this.value;
	}

}
