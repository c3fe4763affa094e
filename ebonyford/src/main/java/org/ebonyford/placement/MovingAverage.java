package org.ebonyford.placement;

/**
 * An exponential moving average.
 */
public final class MovingAverage {

	/**
	 * The weight of a new sample, from 0 to 1.
	 */
	private final double weight;

	/**
	 * The current average.
	 */
	private double value;

	/**
	 * Creates an average.
	 * @param initial the value before the first sample
	 * @param weight the weight of a new sample, from 0 to 1
	 */
	public MovingAverage(double initial, double weight) {
		this.value = initial;
		this.weight = weight;
	}

	/**
	 * Adds a sample.
	 * @param sample the sample
	 */
	public void add(double sample) {
		this.value += this.weight * (sample - this.value);
	}

	/**
	 * Moves the average towards a value as time passes.
	 * @param target the value
	 * @param fraction the fraction of the distance to move, from 0 to 1
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
