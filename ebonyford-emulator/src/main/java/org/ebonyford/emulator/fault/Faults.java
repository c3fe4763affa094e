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
	 * Switches a fault on.
	 * @param fault the fault
	 */
	public synchronized void add(Fault fault) {
		this.active.add(fault);
	}

	/**
	 * Switches all faults off.
	 */
	public synchronized void clear() {
		this.active.clear();
	}

	/**
	 * Returns the fault that strikes a call, and counts the call.
	 * @param operation the operation of the call
	 * @return the first fault that strikes the operation
	 */
	public synchronized Optional<Fault> strike(String operation) {
		for (Iterator<Fault> faults = this.active.iterator(); faults.hasNext();) {
			Fault fault = faults.next();
			if (fault.operation().isEmpty() || fault.operation().equals(operation)) {
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

}
