package org.ebonyford.router.log;

/**
 * The names of the streams that the system keeps in the log service.
 */
public final class LogStreams {

	/**
	 * The stream of configurations and take-outs.
	 */
	public static final String CONTROL = "control";

	/**
	 * The stream of claims on idempotency keys.
	 */
	public static final String CLAIMS = "claims";

	/**
	 * The stream of evidence.
	 */
	public static final String EVIDENCE = "evidence";

	private LogStreams() {
	}

}
