package org.ebonyford.router.evidence;

import java.util.List;
import java.util.Objects;

/**
 * What evidence says about one promise in a period.
 *
 * @param kind the promise
 * @param verdict whether it was kept
 * @param details what was found, one sentence each
 */
public record Promise(Kind kind, Verdict verdict, List<String> details) {

	/**
	 * Creates a finding.
	 */
	public Promise {
		Objects.requireNonNull(kind, "kind");
		Objects.requireNonNull(verdict, "verdict");
		details = List.copyOf(details);
	}

	/**
	 * The promises that evidence can show.
	 */
	public enum Kind {

		/** A request that may not be repeated ran at most once. */
		AT_MOST_ONCE,

		/** No organisation waited for long without being served. */
		NO_STARVATION,

		/** The service of two backlogged organisations differed little. */
		FAIRNESS,

		/** A data centre out of service got no new work. */
		TAKE_OUT,

		/** A control state came into force everywhere in time and never reverted. */
		CONFIGURATION

	}

	/**
	 * Whether a promise was kept.
	 */
	public enum Verdict {

		/** The records are whole and show it kept. */
		KEPT,

		/** The records show it broken. */
		BROKEN,

		/** The records that there are show it kept, but some are missing. */
		RECORDS_MISSING,

		/** No bound was given; the details hold the measured figure. */
		MEASURED

	}

}
