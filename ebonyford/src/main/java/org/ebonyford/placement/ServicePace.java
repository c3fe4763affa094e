package org.ebonyford.placement;

/**
 * How fast the upstreams of a service work, learned from the requests that they answer.
 */
public final class ServicePace {

	/**
	 * The weight of a request in the averages.
	 */
	private static final double WEIGHT = 0.04;

	/**
	 * The time in milliseconds to a first byte before any is known.
	 */
	private static final double FIRST_MILLIS = 60;

	/**
	 * The time in milliseconds of a whole request before any is known.
	 */
	private static final double WHOLE_MILLIS = 2_000;

	/**
	 * The milliseconds for reading a token before any is known: a usual rate of current
	 * accelerators.
	 */
	private static final double READ_MILLIS = 0.01;

	/**
	 * The tokens from which a request says more of the reading than of the rest.
	 */
	private static final double LONG_READ = 3_000;

	/**
	 * The tokens below which a request says nothing of the reading.
	 */
	private static final double SHORT_READ = 1_000;

	/**
	 * The greatest factor by which a single request may differ from the average.
	 */
	private static final double OUTLIER = 4;

	/**
	 * The time to the first byte apart from reading, in milliseconds.
	 */
	private final Average first = new Average(FIRST_MILLIS, WEIGHT);

	/**
	 * The time of a whole request, in milliseconds.
	 */
	private final Average whole = new Average(WHOLE_MILLIS, WEIGHT);

	/**
	 * The time for reading a token, in milliseconds.
	 */
	private final Average read = new Average(READ_MILLIS, WEIGHT);

	/**
	 * Notes when the first byte of an answer came.
	 * @param tokens the tokens that were to be read until then
	 * @param millis the time since the request was sent, in milliseconds
	 */
	public void first(double tokens, double millis) {
		if (tokens < SHORT_READ) {
			this.first.add(Math.min(millis, this.first.value() * OUTLIER));
		}
		else if (tokens >= LONG_READ) {
			double each = Math.max(millis - this.first.value(), 0) / tokens;
			double average = this.read.value();
			this.read.add(Math.max(average / OUTLIER, Math.min(each, average * OUTLIER)));
		}
	}

	/**
	 * Notes that an answer ended.
	 * @param millis the time since the request was sent, in milliseconds
	 */
	public void whole(double millis) {
		this.whole.add(millis);
	}

	/**
	 * Predicts when the first byte of an answer comes from an idle upstream.
	 * @param tokens the tokens that are to be read until then
	 * @return the time in milliseconds
	 */
	public double firstMillis(double tokens) {
		return this.first.value() + tokens * this.read.value();
	}

	/**
	 * Returns the time for reading tokens.
	 * @param tokens the tokens
	 * @return the time in milliseconds
	 */
	public double readMillis(double tokens) {
		return tokens * this.read.value();
	}

	/**
	 * Returns the time of a whole request.
	 * @return the time in milliseconds
	 */
	public double wholeMillis() {
		return this.whole.value();
	}

}
