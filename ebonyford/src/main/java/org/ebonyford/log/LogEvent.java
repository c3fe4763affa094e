package org.ebonyford.log;

/**
 * A numbered event in the log of a router. The catalogue in the documentation is made
 * from this type.
 */
public enum LogEvent {

	/** The router started. */
	STARTED(1, Severity.INFO, "The router started."),

	/** The router takes requests. */
	READY(2, Severity.INFO, "The router takes requests."),

	/** The router takes no requests. */
	NOT_READY(3, Severity.WARNING, "The router takes no requests; the subject says why."),

	/** The router was asked to stop. */
	STOPPING(4, Severity.INFO, "The router was asked to stop and finishes its requests."),

	/** The router ends. */
	STOPPED(5, Severity.INFO, "The router ends with nothing left to do."),

	/** The event loop stood still. */
	PAUSED(6, Severity.WARNING, "The event loop stood still; everything with a time limit counts as lapsed."),

	/** A control state came into force. */
	CONTROL_IN_FORCE(10, Severity.INFO, "A control state came into force; the subject is its version."),

	/** A control state was rejected. */
	CONTROL_REJECTED(11, Severity.WARNING, "A control state in the log is not valid or lost a race."),

	/** The VM list changed. */
	MEMBERS_CHANGED(12, Severity.INFO, "The list of VMs changed; the subject is its revision."),

	/** The log service is out of reach. */
	LOG_UNREACHABLE(13, Severity.WARNING, "The log service is out of reach; the subject is the stream."),

	/** The log service is in reach again. */
	LOG_REACHABLE(14, Severity.INFO, "The log service is in reach again; the subject is the stream."),

	/** An upstream started anew. */
	UPSTREAM_COLD(20, Severity.WARNING, "An upstream started anew and counts as cold."),

	/** An upstream is warm. */
	UPSTREAM_WARM(21, Severity.INFO, "An upstream reached its warm limit."),

	/** An upstream leaves. */
	UPSTREAM_LEAVING(22, Severity.INFO, "An upstream is leaving and gets no new work."),

	/** An exchange with an upstream broke. */
	EXCHANGE_BROKEN(23, Severity.WARNING, "An exchange with an upstream broke; the subject is the request."),

	/** A request is suspected. */
	REQUEST_SUSPECTED(24, Severity.WARNING, "A request is suspected of crashing upstreams; the subject is its digest."),

	/** A claim's outcome is unknown. */
	CLAIM_UNKNOWN(30, Severity.WARNING, "Whether a claimed request ran cannot be known; the subject is the claim."),

	/** A peer was rejected. */
	PEER_REJECTED(40, Severity.WARNING, "A peer could not authenticate itself.");

	/**
	 * The number of the event.
	 */
	private final int number;

	/**
	 * How severe the event is.
	 */
	private final Severity severity;

	/**
	 * What the event means.
	 */
	private final String meaning;

	LogEvent(int number, Severity severity, String meaning) {
		this.number = number;
		this.severity = severity;
		this.meaning = meaning;
	}

	/**
	 * Returns the code of the event.
	 * @return the code, such as {@code EF-0001}
	 */
	public String code() {
		return String.format("EF-%04d", this.number);
	}

	/**
	 * Returns how severe the event is.
	 * @return the severity
	 */
	public Severity severity() {
		return this.severity;
	}

	/**
	 * Returns what the event means.
	 * @return one sentence
	 */
	public String meaning() {
		return this.meaning;
	}

	/**
	 * How severe an event is.
	 */
	public enum Severity {

		/** Nothing needs attention. */
		INFO,

		/** Something needs attention if it lasts. */
		WARNING

	}

}
