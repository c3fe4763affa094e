package org.ebonyford.router.control;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.ebonyford.control.ControlLog;
import org.ebonyford.control.ControlState;
import org.ebonyford.identity.DataCentreId;
import org.ebonyford.identity.UpstreamId;
import org.ebonyford.identity.VmId;

/**
 * A change that an operator makes to the state in force.
 */
@FunctionalInterface
public interface ControlChange {

	/**
	 * Applies the change.
	 * @param current the state in force, or empty if there is none
	 * @return the changed state, or empty if there must be a state in force first
	 */
	Optional<ControlState> apply(Optional<ControlState> current);

	private static <T> Set<T> changed(Set<T> set, T element, boolean present) {
		Set<T> changed = new HashSet<>(set);
		if (present) {
			changed.add(element);
		}
		else {
			changed.remove(element);
		}
		return changed;
	}

	/**
	 * Publishes plans and uses and leaves what is out of service as it is.
	 *
	 * @param plans the text of the plans file
	 * @param uses the text of the uses file
	 */
	record ForPublication(String plans, String uses) implements ControlChange {

		@Override
		public Optional<ControlState> apply(Optional<ControlState> current) {
			ControlState base = current
				.orElse(new ControlState(ControlLog.NO_VERSION, "", "", Set.of(), Set.of(), Set.of()));
			return Optional.of(new ControlState(base.version(), this.plans, this.uses, base.dataCentresOut(),
					base.vmsOut(), base.upstreamsOut()));
		}

	}

	/**
	 * Takes a data centre out of service or back.
	 *
	 * @param dataCentre the data centre
	 * @param out whether it is taken out
	 */
	record ForDataCentre(DataCentreId dataCentre, boolean out) implements ControlChange {

		@Override
		public Optional<ControlState> apply(Optional<ControlState> current) {
			return current.map((state) -> new ControlState(state.version(), state.plans(), state.uses(),
					changed(state.dataCentresOut(), this.dataCentre, this.out), state.vmsOut(), state.upstreamsOut()));
		}

	}

	/**
	 * Takes a VM out of service or back.
	 *
	 * @param vm the VM
	 * @param out whether it is taken out
	 */
	record ForVm(VmId vm, boolean out) implements ControlChange {

		@Override
		public Optional<ControlState> apply(Optional<ControlState> current) {
			return current.map((state) -> new ControlState(state.version(), state.plans(), state.uses(),
					state.dataCentresOut(), changed(state.vmsOut(), this.vm, this.out), state.upstreamsOut()));
		}

	}

	/**
	 * Takes an upstream out of service or back.
	 *
	 * @param upstream the upstream
	 * @param out whether it is taken out
	 */
	record ForUpstream(UpstreamId upstream, boolean out) implements ControlChange {

		@Override
		public Optional<ControlState> apply(Optional<ControlState> current) {
			return current.map((state) -> new ControlState(state.version(), state.plans(), state.uses(),
					state.dataCentresOut(), state.vmsOut(), changed(state.upstreamsOut(), this.upstream, this.out)));
		}

	}

}
