package org.ebonyford.topology;

import java.util.Map;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;

import org.ebonyford.configuration.Configuration;
import org.ebonyford.configuration.Upstream;
import org.ebonyford.control.ControlState;
import org.ebonyford.identity.DataCentreId;
import org.ebonyford.identity.UpstreamId;
import org.ebonyford.identity.VmId;
import org.ebonyford.membership.Members;

/**
 * Derives the fleet as one router sees it from what operators, the platform and the
 * upstreams say.
 *
 * @param self the VM of this router
 * @param dataCentre the data centre of this router
 */
public record TopologyBuilder(VmId self, DataCentreId dataCentre) {

	/**
	 * Builds a topology. An upstream is closed if it or its data centre is out of
	 * service, or if the platform or the upstream itself says that it leaves. A data
	 * centre that is out of service keeps its owners, who grant nothing there.
	 * @param configuration the configuration in force
	 * @param control the control state in force
	 * @param members the VMs
	 * @param reportingLeaving the upstreams whose load reports say that they leave
	 * @return the topology
	 */
	public Topology build(Configuration configuration, ControlState control, Members members,
			Set<UpstreamId> reportingLeaving) {
		Set<UpstreamId> leaving = members.leavingUpstreams();
		Set<UpstreamId> closed = configuration.upstreams()
			.values()
			.stream()
			.filter((upstream) -> out(upstream, control) || leaving.contains(upstream.id())
					|| reportingLeaving.contains(upstream.id()))
			.map(Upstream::id)
			.collect(Collectors.toUnmodifiableSet());
		return new Topology(this.self, this.dataCentre, members.revision(), owners(control, members), members.vms(),
				configuration, closed);
	}

	private static boolean out(Upstream upstream, ControlState control) {
		return control.upstreamsOut().contains(upstream.id())
				|| control.dataCentresOut().contains(upstream.dataCentre());
	}

	private static Map<DataCentreId, SortedSet<VmId>> owners(ControlState control, Members members) {
		Map<DataCentreId, SortedSet<VmId>> owners = new TreeMap<>();
		members.list()
			.stream()
			.flatMap((list) -> list.entries().stream())
			.filter((entry) -> !entry.leaving() && !control.vmsOut().contains(entry.vm()))
			.forEach((entry) -> owners.computeIfAbsent(entry.dataCentre(), (id) -> new TreeSet<>()).add(entry.vm()));
		return owners;
	}

}
