package org.ebonyford.control;

import java.util.Objects;

/**
 * A record in the log that proposes a new state.
 *
 * @param offset the offset of the record in the log
 * @param appendedAt the time of the append by the log's clock in milliseconds since the
 * epoch
 * @param id a name that the author chose, unique among all records
 * @param author who appended the record
 * @param basedOn the version that the proposal starts from, or -1 if there is none
 * @param state the proposed state, whose version is the offset of this record
 */
public record ControlRecord(long offset, long appendedAt, String id, String author, long basedOn, ControlState state) {

	/**
	 * Creates a record.
	 * @throws NullPointerException if the state is {@code null}
	 */
	public ControlRecord {
		Objects.requireNonNull(state, "state");
	}

}
