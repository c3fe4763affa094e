package org.ebonyford.control;

import java.util.Set;

import org.ebonyford.identity.DataCentreId;
import org.ebonyford.identity.UpstreamId;
import org.ebonyford.identity.VmId;

/**
 * All that operators control, at one version. Every record in the log carries the whole
 * state.
 *
 * @param version the log offset of the record that put the state in force
 * @param plans the text of the plans file
 * @param uses the text of the uses file
 * @param dataCentresOut the data centres that are out of service
 * @param vmsOut the VMs of the system that are out of service
 * @param upstreamsOut the upstreams that are out of service
 */
public record ControlState(long version, String plans, String uses, Set<DataCentreId> dataCentresOut, Set<VmId> vmsOut,
		Set<UpstreamId> upstreamsOut) {

	/**
	 * Creates a state.
	 */
	public ControlState {
		dataCentresOut = Set.copyOf(dataCentresOut);
		vmsOut = Set.copyOf(vmsOut);
		upstreamsOut = Set.copyOf(upstreamsOut);
	}

}
