package org.ebonyford.control;

import java.util.Objects;
import java.util.OptionalLong;

import org.ebonyford.configuration.Configuration;

/**
 * A control state that was accepted, with its configuration as read.
 *
 * @param state the state
 * @param configuration the configuration that the state's texts hold
 * @param appendedAt the time at which the log took the state, in milliseconds since the
 * epoch, or empty if the state came from another router
 */
record AcceptedState(ControlState state, Configuration configuration, OptionalLong appendedAt) {

	/**
	 * Creates an accepted state.
	 */
	AcceptedState {
		Objects.requireNonNull(state, "state");
		Objects.requireNonNull(configuration, "configuration");
		Objects.requireNonNull(appendedAt, "appendedAt");
	}

	/**
	 * Returns the version of the state.
	 * @return the offset of the record that put the state in force
	 */
	long version() {
		return this.state.version();
	}

}
