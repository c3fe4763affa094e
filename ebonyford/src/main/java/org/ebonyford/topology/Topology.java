package org.ebonyford.topology;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

import org.ebonyford.configuration.Configuration;
import org.ebonyford.identity.DataCentreId;
import org.ebonyford.identity.UpstreamId;
import org.ebonyford.identity.VmId;

/**
 * The fleet as one router sees it.
 *
 * @param self the VM of this router
 * @param dataCentre the data centre of this router
 * @param listRevision the revision of the VM list that the members come from, or -1 if
 * there is none
 * @param owners the VMs of each data centre that may own slots: listed, not leaving and
 * not out of service
 * @param routers the VMs of all routers that are listed, leaving ones among them
 * @param configuration the configuration in force
 * @param closed the upstreams that get no new work, since they or their data centres are
 * out of service or leaving
 */
public record Topology(VmId self, DataCentreId dataCentre, long listRevision, Map<DataCentreId, SortedSet<VmId>> owners,
		SortedSet<VmId> routers, Configuration configuration, Set<UpstreamId> closed) {

	/**
	 * Creates a topology.
	 */
	public Topology {
		owners = new TreeMap<>(owners);
		routers = new TreeSet<>(routers);
		closed = Set.copyOf(closed);
	}

	/**
	 * Returns whether an upstream may get new work.
	 * @param upstream the upstream
	 * @return {@code true} if the upstream is configured and not closed
	 */
	public boolean open(UpstreamId upstream) {
		return this.configuration.upstreams().containsKey(upstream) && !this.closed.contains(upstream);
	}

	/**
	 * Returns the VMs that may own slots of the upstreams in a data centre. These are the
	 * data centre's own VMs or, if it has none, those of the next data centre in the
	 * order of names that has some.
	 * @param upstreams the data centre of the upstreams
	 * @return the VMs in the order of their names, empty if no data centre has any
	 */
	public List<VmId> ownersFor(DataCentreId upstreams) {
		SortedSet<VmId> own = this.owners.getOrDefault(upstreams, new TreeSet<>());
		if (!own.isEmpty()) {
			return List.copyOf(own);
		}
		Comparator<DataCentreId> cyclic = Comparator.comparing((DataCentreId id) -> id.compareTo(upstreams) < 0)
			.thenComparing(Comparator.naturalOrder());
		return this.owners.entrySet()
			.stream()
			.filter((entry) -> !entry.getValue().isEmpty())
			.min(Map.Entry.comparingByKey(cyclic))
			.map((entry) -> (List<VmId>) new ArrayList<>(entry.getValue()))
			.orElse(List.of());
	}

}
