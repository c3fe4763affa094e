package org.ebonyford.router.control;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;

import org.ebonyford.configuration.Configuration;
import org.ebonyford.control.ControlLog;
import org.ebonyford.control.ControlRecord;
import org.ebonyford.control.ControlState;
import org.ebonyford.router.log.LogClient;
import org.ebonyford.router.log.LogException;

/**
 * Brings operators' changes into force and tells for certain what became of them. A
 * record is appended again under its name until it is found in the log, which is safe
 * since only one record is accepted on each version.
 */
public final class ControlPublisher {

	/**
	 * How often one record is appended at most.
	 */
	private static final int MAX_APPENDS = 4;

	/**
	 * How often a change that lost is based anew at most.
	 */
	private static final int MAX_REBASES = 8;

	/**
	 * The client of the log service.
	 */
	private final LogClient client;

	/**
	 * How long one call of the log service may take.
	 */
	private final Duration timeout;

	/**
	 * Who makes the changes.
	 */
	private final String author;

	/**
	 * Gives each record a name of its own.
	 */
	private final Supplier<String> names;

	/**
	 * Waits before a record is appended again.
	 */
	private final Runnable pause;

	/**
	 * Creates a publisher.
	 * @param client the client of the log service
	 * @param timeout how long one call of the log service may take
	 * @param author who makes the changes
	 * @param names gives each record a name of its own
	 * @param pause waits before a record is appended again
	 */
	public ControlPublisher(LogClient client, Duration timeout, String author, Supplier<String> names, Runnable pause) {
		this.client = client;
		this.timeout = timeout;
		this.author = author;
		this.names = names;
		this.pause = pause;
	}

	/**
	 * Reads what is in force.
	 * @return what is in force, or empty if nothing is
	 * @throws LogException if the log service cannot be asked
	 */
	public Optional<InForce> inForce() {
		ControlStream stream = new ControlStream(this.client, this.timeout);
		stream.readToEnd();
		return stream.current()
			.map((state) -> new InForce(state, stream.configuration().orElseThrow(), stream.accepted(state.version())));
	}

	/**
	 * Brings a change into force, unless another one is accepted first.
	 * @param change the change
	 * @param base the version that the change must be based on, or empty for the one in
	 * force
	 * @return what became of the change
	 */
	public ControlOutcome propose(ControlChange change, OptionalLong base) {
		return guarded((stream) -> {
			stream.readToEnd();
			return attempt(stream, change, base);
		});
	}

	/**
	 * Brings a change into force and bases it anew each time that another one is accepted
	 * first.
	 * @param change the change
	 * @return what became of the change
	 */
	public ControlOutcome insist(ControlChange change) {
		return guarded((stream) -> {
			stream.readToEnd();
			ControlOutcome outcome = attempt(stream, change, OptionalLong.empty());
			for (int rebase = 0; rebase < MAX_REBASES && outcome instanceof ControlOutcome.Lost; rebase++) {
				stream.readToEnd();
				outcome = attempt(stream, change, OptionalLong.empty());
			}
			return outcome;
		});
	}

	private ControlOutcome guarded(Action action) {
		try {
			return action.run(new ControlStream(this.client, this.timeout));
		}
		catch (LogException ex) {
			return new ControlOutcome.Unreachable(ex.getMessage(), false);
		}
	}

	private ControlOutcome attempt(ControlStream stream, ControlChange change, OptionalLong base) {
		long version = stream.version();
		if (base.isPresent() && base.getAsLong() != version) {
			return new ControlOutcome.Lost(base.getAsLong(), stream.accepted(version), version);
		}
		Optional<ControlState> changed = change.apply(stream.current());
		if (changed.isEmpty()) {
			return new ControlOutcome.NothingInForce();
		}
		if (changed.equals(stream.current())) {
			return new ControlOutcome.Unchanged(version);
		}
		return settle(stream,
				new ControlRecord(ControlLog.NO_VERSION, 0, this.names.get(), this.author, version, changed.get()));
	}

	private ControlOutcome settle(ControlStream stream, ControlRecord record) {
		boolean effectPossible = false;
		String failure = "The record is not in the log";
		for (int append = 0; append < MAX_APPENDS; append++) {
			try {
				Optional<LogException> lost = append(stream, record);
				effectPossible |= lost.map(LogException::effectPossible).orElse(true);
				failure = lost.map(LogException::getMessage).orElse(failure);
				Optional<ControlRecord> found = stream.readTo(record.id());
				if (found.isPresent()) {
					return judge(stream, found.get());
				}
			}
			catch (LogException ex) {
				failure = ex.getMessage();
			}
			this.pause.run();
		}
		return new ControlOutcome.Unreachable(failure, effectPossible);
	}

	private static Optional<LogException> append(ControlStream stream, ControlRecord record) {
		try {
			stream.append(record);
			return Optional.empty();
		}
		catch (LogException ex) {
			return Optional.of(ex);
		}
	}

	private static ControlOutcome judge(ControlStream stream, ControlRecord found) {
		if (stream.version() == found.offset()) {
			return new ControlOutcome.Accepted(found);
		}
		return new ControlOutcome.Lost(found.basedOn(), stream.successor(found.basedOn()), stream.version());
	}

	/**
	 * What is in force.
	 *
	 * @param state the state
	 * @param configuration the configuration that the state's texts hold
	 * @param record the record that put the state in force
	 */
	public record InForce(ControlState state, Configuration configuration, Optional<ControlRecord> record) {

	}

	/**
	 * Works with a fresh view of the stream.
	 */
	@FunctionalInterface
	private interface Action {

		/**
		 * Runs the action.
		 * @param stream the stream, not read yet
		 * @return what became of a change
		 */
		ControlOutcome run(ControlStream stream);

	}

}
