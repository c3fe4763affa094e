package org.ebonyford.benchmark.engine;

/**
 * What became of an organisation's requests.
 */
public final class Outcome {

	/**
	 * The number of requests.
	 */
	private int asked;

	/**
	 * The number of requests that were refused.
	 */
	private int refused;

	/**
	 * The number of requests whose answer began.
	 */
	private int begun;

	/**
	 * The number of answers that began within their latency target.
	 */
	private int onTime;

	/**
	 * Returns the number of requests.
	 * @return the number
	 */
	public int asked() {
		return this.asked;
	}

	/**
	 * Returns the number of requests that were refused.
	 * @return the number
	 */
	public int refused() {
		return this.refused;
	}

	/**
	 * Returns the number of requests whose answer began.
	 * @return the number
	 */
	public int begun() {
		return this.begun;
	}

	/**
	 * Returns the number of answers that began within their latency target.
	 * @return the number
	 */
	public int onTime() {
		return this.onTime;
	}

	void hasAsked() {
		this.asked++;
	}

	void hasRefused() {
		this.refused++;
	}

	void began(boolean inTime) {
		this.begun++;
		this.onTime += inTime ? 1 : 0;
	}

}
