package org.ebonyford.placement;

/**
 * An exponentially weighted average.
 */
public final class MovingAverage {

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
	public MovingAverage(double initial, double weight) {
		this.value = initial;
		this.weight = weight;
	}

	/**
	 * Adds a value.
	 * @param sample the value
	 */
	public void add(double sample) {
		this.value += this.weight * (sample - this.value);
	}

	/**
	 * Moves the average towards a value as time passes.
	 * @param target the value
	 * @param fraction the part of the way, from 0 to 1
	 */
	public void decay(double target, double fraction) {
		this.value += fraction * (target - this.value);
	}

	/**
	 * Returns the average.
	 * @return the average
	 */
	public double value() {
		return this.value;
	}

}
