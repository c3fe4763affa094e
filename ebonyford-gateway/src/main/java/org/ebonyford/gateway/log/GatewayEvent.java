package org.ebonyford.gateway.log;

/**
 * The events that a gateway logs. An event's number is never reused for another meaning.
 */
public enum GatewayEvent {

	/** The process has started and listens. */
	STARTED(1, true, "The process listens and begins to read from the store."),

	/** The process drains. */
	STOPPING(2, true, "The process was asked to end; it takes no new connections and finishes its requests."),

	/** The process exits. */
	STOPPED(3, true, "The process ends; the line tells how many requests were still open."),

	/** The settings file was read again after SIGHUP. */
	RELOADED(4, true, "The settings were read again; the line tells whether they were taken."),

	/** The process cannot start. */
	CANNOT_RUN(5, true, "The process cannot run and exits with status 1; the line tells why."),

	/** Readiness has changed. */
	READINESS(6, true, "The answer to the balancer has changed; the line tells why."),

	/** The store does not answer. */
	STORE_LOST(7, true, "Calls to the store fail; what was read before stays in force."),

	/** The store answers again. */
	STORE_REGAINED(8, true, "The store answers again after calls failed."),

	/** A configuration came into force. */
	CONFIGURATION(9, true, "A version of the configuration came into force."),

	/** A record cannot be read. */
	UNREADABLE_RECORD(10, true, "A record of the store cannot be read and is left out."),

	/** An evacuation of a data centre began or ended. */
	EVACUATION(11, true, "A data centre's upstreams are evacuated, or taken back."),

	/** An upstream was registered, or its drain state changed. */
	UPSTREAM(12, true, "An upstream was registered, or its state has changed."),

	/** An upstream's entry was removed. */
	UPSTREAM_GONE(13, true, "An upstream's entry is gone and no request is sent there any more."),

	/** An upstream with open requests is silent and gets no requests. */
	UPSTREAM_SILENT(14, true, "Nothing came from an upstream with open requests; it is left out until it is heard."),

	/** A silent upstream passed a health check. */
	UPSTREAM_HEARD(15, true, "An upstream that was silent has answered a health check."),

	/** The monotonic and the wall clock diverged. */
	CLOCKS_DIVERGED(16, true, "The clocks disagree on the time that passed; all that was read before counts as old."),

	/** The number of known gateways changed. */
	PEER(17, true, "Another gateway was found or is gone; limits of the fleet are divided anew."),

	/** A request was malformed or too large. */
	IMPROPER_REQUEST(18, false, "A request was refused before it was read whole, as it is malformed or too large."),

	/** An upstream is taken to have crashed while it ran requests. */
	UPSTREAM_CRASHED(19, true,
			"An upstream closed connections before the answers were whole; the line tells which gateway saw it, and how many requests took part."),

	/** A supposed crash is withdrawn, as the upstream still runs. */
	CRASH_STRUCK_OUT(20, true, "An upstream that was taken to have crashed goes on, so its crash does not count."),

	/** A request is refused from now on, as upstreams crashed while running it. */
	REQUEST_SUSPECTED(21, true, "Upstreams have ended under a request; from now on it is refused."),

	/** Upstreams crash when they begin to answer prompts with a part. */
	PART_SUSPECTED(25, true,
			"Upstreams crash when they begin to answer prompts with a part; from now on requests with it are refused."),

	/** The store has come back from an older copy. */
	STORE_RESTORED(26, true,
			"The store has come back from an older copy; what was read before stays in force until it is written again."),

	/** The organisations' shares while requests are refused. */
	SHARES(22, true,
			"Something was refused in the last second; the line tells the level of the shares, the sums behind it, and how old the oldest of them is."),

	/** Outcomes of an organisation's requests by cause. */
	REFUSALS(23, true, "What became of an organisation's requests at this gateway in the last second, by cause."),

	/** This gateway's view of the engines while requests are refused. */
	ENGINES(24, true,
			"Something was refused in the last second; the line tells how fast this gateway believes engines to be, how many it may use, and why not the others."),

	/** Records of the store were deleted before this gateway read them. */
	RECORDS_DELETED(27, true,
			"The store deleted records of a topic before this gateway had read them; it reads the newest state instead."),

	/** An upstream sent bytes that belong to no request. */
	STRAY_BYTES(28, true,
			"An upstream sent bytes that belong to no request, such as a second copy of an answer; the connection is closed."),

	/** The process was held up. */
	HELD_UP(39, true,
			"The process was held up, and what it read before is too old; it reads the store again before it sends further requests."),

	/** The versions that began streams could not be saved. */
	ORIGINS_UNSAVED(41, true,
			"The store did not take which software versions began streams; it is written again with the next ones."),

	/** A read through a peer failed. */
	RELAY_FAILED(40, true,
			"A read of the store through a peer failed after others had succeeded; the store is read directly."),

	/** Connections of callers gave way or requests were refused. */
	SHORTAGE(49, true,
			"Memory or descriptors were short in the last second: connections of callers gave way, or requests were refused."),

	/** An upstream has named a limit on requests or lifted it. */
	UPSTREAM_LIMIT(29, true,
			"An upstream has named another limit on requests a second in its answers, or, with -1, names none any more."),

	/** The operator has ordered a roll-out. */
	ROLLOUT_ORDERED(60, true, "The operator has ordered that a service moves to another software version."),

	/** The operator has withdrawn a roll-out. */
	ROLLOUT_WITHDRAWN(61, true, "The operator has withdrawn the order of a roll-out; all versions serve again."),

	/** This gateway has decided the next step of a roll-out. */
	ROLLOUT_DECIDED(62, true,
			"This gateway coordinates a roll-out and has saved its next step; the line tells the reason, with the evidence."),

	/** A step of a roll-out is in force at this gateway. */
	ROLLOUT_APPLIED(63, true, "A step of a roll-out was read from the store and is in force at this gateway."),

	/** The status of a roll-out was published. */
	ROLLOUT_STATUS(64, true, "The status of a roll-out was published for the operator."),

	/** A step or status of a roll-out could not be saved. */
	ROLLOUT_UNSAVED(65, true,
			"The store did not take a step or the status of a roll-out, or did not answer; it is read and decided again."),

	/** A request is restricted by a roll-out. */
	ROLLOUT_CHOICE(66, false,
			"A roll-out restricts the versions for a request; the line tells its state and how many upstreams are left."),

	/** A request was read. */
	REQUEST(30, false, "A request was read and its route found."),

	/** A request was refused. */
	REFUSED(31, false, "A request was refused without having run; the line tells the inputs of the decision."),

	/** An upstream was chosen for a request. */
	PLACED(32, false, "An upstream was chosen; the line tells the expected times and the load behind them."),

	/** An upstream did not run a request. */
	NOT_RUN(33, false, "An upstream said that it did not run the request, or could not be reached."),

	/** An answer ended before it was complete. */
	BROKEN(34, false, "There was no whole answer from an upstream that may have run the request."),

	/** A request is retried or a stream resumed on another upstream. */
	RETRIED(35, false, "A request is sent to another upstream, or a stream is continued there."),

	/** The answer to a request ended. */
	FINISHED(36, false, "The answer to a request ended; the line tells its outcome."),

	/** The caller disconnected. */
	CALLER_LEFT(37, false, "The caller closed its connection before the answer ended."),

	/** An answer makes no progress and no other upstream can take the request. */
	SILENT(38, false,
			"An answer makes no progress; the attempt goes on, as no other upstream can take the request at present."),

	/** A stream's run is copied to a second engine. */
	BACKED_UP(46, false, "The run of a stream is copied to another engine, which the line names, while it goes on."),

	/** A stream is continued from its copy. */
	CONTINUED(47, false,
			"The engine of a stream was lost, and the engine with the copy of the run is asked to continue it."),

	/** A stream with a copy was lost. */
	LOST_WITH_BACKUP(48, false,
			"A stream whose run was copied did not go on after its engine was lost; the lines before tell why.");

	/**
	 * The number in the event's code.
	 */
	private final int number;

	/**
	 * Whether the event concerns the process and not a single request.
	 */
	private final boolean processWide;

	/**
	 * The description in the event catalogue.
	 */
	private final String meaning;

	GatewayEvent(int number, boolean processWide, String meaning) {
		this.number = number;
		this.processWide = processWide;
		this.meaning = meaning;
	}

	/**
	 * Returns the event's code.
	 * @return the code in log lines, such as {@code EG-0007}
	 */
	public String code() {
		return String.format("EG-%04d", this.number);
	}

	/**
	 * Returns whether the event concerns the process and not a single request.
	 * @return {@code false} if it concerns a single request
	 */
	public boolean processWide() {
		return this.processWide;
	}

	/**
	 * Returns the description of the event.
	 * @return a sentence
	 */
	public String meaning() {
		return this.meaning;
	}

}
