package org.ebonyford.control;

import java.util.Optional;
import java.util.OptionalLong;

import org.ebonyford.configuration.Configuration;
import org.ebonyford.configuration.ConfigurationReader;
import org.ebonyford.finding.FindingsException;

/**
 * The chain of accepted states as the records of the log tell it. A record that is based
 * on the last accepted state and is valid is the next accepted state. What was removed
 * from the log before it was read is inferred from the records that are based on it.
 */
final class ControlChain {

	/**
	 * The version before any state was accepted.
	 */
	static final long NO_VERSION = -1;

	/**
	 * Reads the texts of proposed states.
	 */
	private final ConfigurationReader reader;

	/**
	 * The last accepted state, {@code null} before the first one.
	 */
	private AcceptedState last;

	/**
	 * The offset of the next record to read.
	 */
	private long position;

	/**
	 * Whether every record since the start of the log was read.
	 */
	private boolean complete = true;

	/**
	 * Whether the chain rests on a state that another router told and the log no longer
	 * keeps.
	 */
	private boolean borrowed;

	/**
	 * The offset before which records may have been accepted that were never read.
	 */
	private long hiddenEnd;

	/**
	 * The highest version before {@link #hiddenEnd} that is known to have been accepted.
	 */
	private long hiddenVersion = NO_VERSION;

	ControlChain(ConfigurationReader reader) {
		this.reader = reader;
	}

	/**
	 * Returns the last accepted state.
	 * @return the state, or empty if none was accepted yet
	 */
	Optional<AcceptedState> last() {
		return Optional.ofNullable(this.last);
	}

	/**
	 * Returns the version of the last accepted state.
	 * @return the version, or {@link #NO_VERSION} if none was accepted yet
	 */
	long version() {
		return (this.last != null) ? this.last.version() : NO_VERSION;
	}

	/**
	 * Returns whether the chain shows that a version was not accepted.
	 * @param version the version
	 * @return {@code true} if the record of that version was read and not accepted
	 */
	boolean excludes(long version) {
		return !this.borrowed && version >= this.hiddenEnd && version < this.position && version > version();
	}

	/**
	 * Skips records that the log no longer keeps.
	 * @param first the lowest offset that the log still keeps
	 * @param known the state that is known to be in force, if any
	 */
	void skipTo(long first, Optional<AcceptedState> known) {
		if (first <= this.position) {
			return;
		}
		known.filter((state) -> state.version() < first && state.version() > version()).ifPresent(this::borrow);
		this.complete = false;
		this.position = first;
		this.hiddenEnd = first;
		this.hiddenVersion = version();
	}

	/**
	 * Reads a record.
	 * @param record the record
	 * @return what became of the record
	 */
	Verdict read(ControlRecord record) {
		if (record.offset() < this.position) {
			return Verdict.KNOWN;
		}
		this.position = record.offset() + 1;
		if (!follows(record)) {
			return Verdict.LOST;
		}
		return check(record).map((configuration) -> accept(record, configuration)).orElse(Verdict.INVALID);
	}

	/**
	 * Tells that every record before an offset was read.
	 * @param next the offset
	 */
	void readUpTo(long next) {
		this.position = Math.max(this.position, next);
	}

	private void borrow(AcceptedState state) {
		this.last = state;
		this.borrowed = true;
	}

	private boolean follows(ControlRecord record) {
		long base = record.basedOn();
		if (base == version()) {
			return true;
		}
		if (this.complete || base >= record.offset()) {
			return false;
		}
		return base > version() || (base > this.hiddenVersion && base < this.hiddenEnd);
	}

	private Optional<Configuration> check(ControlRecord record) {
		ControlState state = record.state();
		if (this.last != null && this.last.state().plans().equals(state.plans())
				&& this.last.state().uses().equals(state.uses())) {
			return Optional.of(this.last.configuration());
		}
		try {
			return Optional.of(this.reader.read(state.plans(), state.uses()));
		}
		catch (FindingsException ex) {
			return Optional.empty();
		}
	}

	private Verdict accept(ControlRecord record, Configuration configuration) {
		if (record.basedOn() < this.hiddenEnd) {
			this.hiddenVersion = Math.max(this.hiddenVersion, record.basedOn());
		}
		this.last = new AcceptedState(record.state(), configuration, OptionalLong.of(record.appendedAt()));
		return Verdict.ACCEPTED;
	}

	/**
	 * What became of a record.
	 */
	enum Verdict {

		/** The record is the last accepted state. */
		ACCEPTED("accepted"),

		/** The record was read before. */
		KNOWN("known"),

		/** The record is not based on the state that was in force. */
		LOST("lost a race"),

		/** The record holds a faulty configuration. */
		INVALID("not valid");

		/**
		 * The verdict in words.
		 */
		private final String words;

		Verdict(String words) {
			this.words = words;
		}

		@Override
		public String toString() {
			return this.words;
		}

	}

}
