package org.ebonyford.emulator.fault;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;

/**
 * The faults that are switched on at one stand-in.
 */
public final class Faults {

	/**
	 * The faults in the order in which they strike.
	 */
	private final List<Fault> active = new ArrayList<>();

	/**
	 * What goes on when the faults are switched off.
	 */
	private final List<Runnable> held = new ArrayList<>();

	/**
	 * Switches a fault on.
	 * @param fault the fault
	 */
	public synchronized void add(Fault fault) {
		this.active.add(fault);
	}

	/**
	 * Switches all faults off and lets go on what is held.
	 */
	public void clear() {
		List<Runnable> released = release();
		released.forEach(Runnable::run);
	}

	private synchronized List<Runnable> release() {
		List<Runnable> released = List.copyOf(this.held);
		this.active.clear();
		this.held.clear();
		return released;
	}

	/**
	 * Holds what a call or an answer would do until the faults are switched off.
	 * @param rest what is done then
	 */
	public synchronized void hold(Runnable rest) {
		this.held.add(rest);
	}

	/**
	 * Tells what is switched on and what is held.
	 * @return the state at this moment
	 */
	public synchronized State state() {
		return new State(this.active.size(), this.held.size());
	}

	/**
	 * Returns the fault that strikes a call without a body, and counts the call.
	 * @param operation the operation of the call
	 * @return the first fault that strikes the call
	 */
	public Optional<Fault> strike(String operation) {
		return strike(operation, new byte[0]);
	}

	/**
	 * Returns the fault that strikes a call, and counts the call.
	 * @param operation the operation of the call
	 * @param body the body of the call
	 * @return the first fault that strikes the call
	 */
	public synchronized Optional<Fault> strike(String operation, byte[] body) {
		for (Iterator<Fault> faults = this.active.iterator(); faults.hasNext();) {
			Fault fault = faults.next();
			if (fault.strikes(operation, body)) {
				use(fault, faults);
				return Optional.of(fault);
			}
		}
		return Optional.empty();
	}

	private void use(Fault fault, Iterator<Fault> position) {
		if (fault.calls() == 0) {
			return;
		}
		if (fault.calls() == 1) {
			position.remove();
			return;
		}
		this.active.set(this.active.indexOf(fault), fault.forCalls(fault.calls() - 1));
	}

	/**
	 * What is switched on and what is held.
	 *
	 * @param active the faults that strike further calls
	 * @param held the calls and answers that are held
	 */
	public record State(int active, int held) {

	}

}
