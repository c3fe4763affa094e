package org.ebonyford.router.control;

import java.util.Optional;

import org.ebonyford.control.ControlRecord;

/**
 * What became of an operator's change.
 */
public sealed interface ControlOutcome {

	/**
	 * The change was accepted.
	 *
	 * @param record the accepted record, whose offset is the version
	 */
	record Accepted(ControlRecord record) implements ControlOutcome {

	}

	/**
	 * The state in force has the change already, and nothing was appended.
	 *
	 * @param version the version in force
	 */
	record Unchanged(long version) implements ControlOutcome {

	}

	/**
	 * Another change was accepted on the version that this one was based on.
	 *
	 * @param base the version that this change was based on
	 * @param winner the accepted record, or empty if the log no longer keeps it
	 * @param inForce the version in force
	 */
	record Lost(long base, Optional<ControlRecord> winner, long inForce) implements ControlOutcome {

	}

	/**
	 * The change needs a state in force, and there is none.
	 */
	record NothingInForce() implements ControlOutcome {

	}

	/**
	 * The log service could not be asked.
	 *
	 * @param message what failed
	 * @param effectPossible whether the change may still come into force
	 */
	record Unreachable(String message, boolean effectPossible) implements ControlOutcome {

	}

}
