package org.ebonyford.control;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.LongSupplier;

import org.ebonyford.configuration.Configuration;
import org.ebonyford.configuration.ConfigurationReader;
import org.ebonyford.effect.Effect;
import org.ebonyford.effect.Outbox;
import org.ebonyford.event.Event;
import org.ebonyford.finding.FindingsException;
import org.ebonyford.identity.Incarnation;
import org.ebonyford.log.LogEvent;

/**
 * Follows the control state in force, from the log and from other routers. The version in
 * force never decreases.
 */
public final class ControlLog {

	/**
	 * The version before any state is in force.
	 */
	public static final long NO_VERSION = ControlChain.NO_VERSION;

	/**
	 * The process of this router.
	 */
	private final Incarnation self;

	/**
	 * Reads the texts of states.
	 */
	private final ConfigurationReader reader;

	/**
	 * Numbers the appends of this process.
	 */
	private final LongSupplier appends;

	/**
	 * The accepted states as the log tells them.
	 */
	private final ControlChain chain;

	/**
	 * Decides when the state is appended anew.
	 */
	private final ControlRefresh refresh;

	/**
	 * The state in force, {@code null} before the first one.
	 */
	private AcceptedState inForce;

	/**
	 * The clock reading at which the end of the log was last reached, {@code null} before
	 * the first time.
	 */
	private Long caughtUpAt;

	/**
	 * The lowest offset that the log kept when it was last read.
	 */
	private long first;

	/**
	 * Creates a follower that knows nothing.
	 * @param self the process of this router
	 * @param reader reads the texts of states
	 * @param policy when the state in force is appended anew
	 * @param appends numbers the appends of this process
	 */
	public ControlLog(Incarnation self, ConfigurationReader reader, RefreshPolicy policy, LongSupplier appends) {
		this.self = self;
		this.reader = reader;
		this.appends = appends;
		this.chain = new ControlChain(reader);
		this.refresh = new ControlRefresh(self.vm(), policy);
	}

	/**
	 * Reads records of the control stream. The last accepted one comes into force once
	 * the end of the log is reached.
	 * @param event what was read
	 * @param outbox takes notes about what came into force and what was rejected
	 * @return {@code true} if another state came into force
	 */
	public boolean read(Event.ControlRead event, Outbox outbox) {
		this.first = event.first();
		this.chain.skipTo(event.first(), Optional.ofNullable(this.inForce));
		event.records().forEach((record) -> judge(record, outbox));
		this.chain.readUpTo(event.next());
		if (event.next() < event.end()) {
			return false;
		}
		this.caughtUpAt = event.at();
		return this.chain.last().filter(this::replaces).map((state) -> enter(state, outbox)).orElse(false);
	}

	/**
	 * Takes the state in force at another router. A higher version wins always, unless
	 * the log itself proves that it was not accepted.
	 * @param state the state
	 * @param outbox takes notes about what came into force and what was rejected
	 * @return {@code true} if the state came into force
	 */
	public boolean offered(ControlState state, Outbox outbox) {
		if (state.version() <= version()) {
			return false;
		}
		if (this.chain.excludes(state.version())) {
			reject(state.version(), ControlChain.Verdict.LOST, outbox);
			return false;
		}
		Optional<AcceptedState> accepted = check(state);
		if (accepted.isEmpty()) {
			reject(state.version(), ControlChain.Verdict.INVALID, outbox);
			return false;
		}
		return enter(accepted.get(), outbox);
	}

	/**
	 * Appends the state in force anew before the log removes it.
	 * @param now the clock reading in milliseconds
	 * @param epochMillis the wall-clock time in milliseconds since the epoch
	 * @param outbox takes the append
	 */
	public void tick(long now, long epochMillis, Outbox outbox) {
		if (this.inForce == null || this.caughtUpAt == null) {
			return;
		}
		if (this.refresh.attempt(now, epochMillis, this.inForce, version() >= this.first)) {
			long append = this.appends.getAsLong();
			outbox.add(new Effect.AppendControl(append, renewal(append)));
		}
	}

	/**
	 * Returns the state in force. A router serves only while there is one.
	 * @return the state, or empty before the log was read to its end and no other router
	 * offered one
	 */
	public Optional<ControlState> current() {
		return Optional.ofNullable(this.inForce).map(AcceptedState::state);
	}

	/**
	 * Returns the configuration in force.
	 * @return the configuration, or empty if no state is in force
	 */
	public Optional<Configuration> configuration() {
		return Optional.ofNullable(this.inForce).map(AcceptedState::configuration);
	}

	/**
	 * Returns the version in force.
	 * @return the version, or {@link #NO_VERSION} if no state is in force
	 */
	public long version() {
		return (this.inForce != null) ? this.inForce.version() : NO_VERSION;
	}

	/**
	 * Returns when the end of the log was last reached.
	 * @return the clock reading in milliseconds, or empty if it was not reached yet
	 */
	public OptionalLong caughtUpAt() {
		return (this.caughtUpAt != null) ? OptionalLong.of(this.caughtUpAt) : OptionalLong.empty();
	}

	private void judge(ControlRecord record, Outbox outbox) {
		ControlChain.Verdict verdict = this.chain.read(record);
		if (verdict == ControlChain.Verdict.LOST || verdict == ControlChain.Verdict.INVALID) {
			reject(record.offset(), verdict, outbox);
		}
	}

	private boolean replaces(AcceptedState state) {
		boolean dated = state.version() == version() && this.inForce.appendedAt().isEmpty();
		if (dated) {
			this.inForce = state;
		}
		return state.version() > version();
	}

	private boolean enter(AcceptedState state, Outbox outbox) {
		this.inForce = state;
		outbox.add(new Effect.Note(LogEvent.CONTROL_IN_FORCE, Long.toString(state.version())));
		return true;
	}

	private void reject(long version, ControlChain.Verdict verdict, Outbox outbox) {
		outbox.add(new Effect.Note(LogEvent.CONTROL_REJECTED, version + " " + verdict));
	}

	private Optional<AcceptedState> check(ControlState state) {
		try {
			Configuration configuration = this.reader.read(state.plans(), state.uses());
			return Optional.of(new AcceptedState(state, configuration, OptionalLong.empty()));
		}
		catch (FindingsException ex) {
			return Optional.empty();
		}
	}

	private ControlRecord renewal(long append) {
		ControlState state = this.inForce.state();
		String id = "refresh/" + this.self.vm() + "/" + this.self.number() + "/" + append;
		ControlState proposed = new ControlState(NO_VERSION, state.plans(), state.uses(), state.dataCentresOut(),
				state.vmsOut(), state.upstreamsOut());
		return new ControlRecord(NO_VERSION, 0, id, "router " + this.self.vm(), state.version(), proposed);
	}

}
