package org.ebonyford.request;

/**
 * What a caller is told about whether its request ran.
 */
public enum Outcome {

	/**
	 * The request certainly did not run and will not run.
	 */
	NOT_RUN("not-run"),

	/**
	 * The request ran once.
	 */
	RAN("ran"),

	/**
	 * The request may have run.
	 */
	UNKNOWN("unknown");

	/**
	 * The name of the outcome in answers.
	 */
	private final String label;

	Outcome(String label) {
		this.label = label;
	}

	/**
	 * Returns the name of the outcome in answers.
	 * @return the name in lower-case letters
	 */
	public String label() {
		return this.label;
	}

}
