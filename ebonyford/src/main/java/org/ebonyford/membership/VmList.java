package org.ebonyford.membership;

import java.util.List;

/**
 * The platform's list of VMs at one revision.
 *
 * @param revision a number that grows with every change of the list
 * @param entries the VMs, live and leaving
 * @param leavingUpstreams the names of the upstreams that are about to be taken away
 */
public record VmList(long revision, List<VmEntry> entries, List<String> leavingUpstreams) {

	/**
	 * Creates a list.
	 */
	public VmList {
		entries = List.copyOf(entries);
		leavingUpstreams = List.copyOf(leavingUpstreams);
	}

}
