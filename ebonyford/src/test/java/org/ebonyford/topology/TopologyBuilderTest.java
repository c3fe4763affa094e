package org.ebonyford.topology;

import java.util.List;
import java.util.Set;

import org.testng.annotations.Test;

import org.ebonyford.configuration.Configuration;
import org.ebonyford.configuration.ConfigurationReader;
import org.ebonyford.control.ControlState;
import org.ebonyford.identity.DataCentreId;
import org.ebonyford.identity.UpstreamId;
import org.ebonyford.identity.VmId;
import org.ebonyford.membership.Members;
import org.ebonyford.membership.VmEntry;
import org.ebonyford.membership.VmList;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests {@link TopologyBuilder}.
 */
public class TopologyBuilderTest {

	private static final DataCentreId EAST = new DataCentreId("east");

	private static final UpstreamId U1 = new UpstreamId("u1");

	private static final UpstreamId U2 = new UpstreamId("u2");

	@Test
	public void testUpstreamIsOpenByDefault() {
		assertTrue(build(Set.of(), Set.of(), Set.of(), List.of(), Set.of()).open(U1));
	}

	@Test
	public void testUpstreamOutIsClosed() {
		Topology topology = build(Set.of(), Set.of(), Set.of(U1), List.of(), Set.of());
		assertFalse(topology.open(U1));
		assertTrue(topology.open(U2));
	}

	@Test
	public void testDataCentreOutClosesItsUpstreamsButKeepsItsOwners() {
		Topology topology = build(Set.of(EAST), Set.of(), Set.of(), List.of(), Set.of());
		assertFalse(topology.open(U1));
		assertTrue(topology.open(U2));
		assertEquals(topology.ownersFor(EAST), List.of(new VmId("a"), new VmId("b")));
	}

	@Test
	public void testUpstreamThatThePlatformTakesAwayIsClosed() {
		assertFalse(build(Set.of(), Set.of(), Set.of(), List.of("u1"), Set.of()).open(U1));
	}

	@Test
	public void testUpstreamThatReportsLeavingIsClosed() {
		assertFalse(build(Set.of(), Set.of(), Set.of(), List.of(), Set.of(U1)).open(U1));
	}

	@Test
	public void testVmOutOwnsNothingButRoutes() {
		Topology topology = build(Set.of(), Set.of(new VmId("a")), Set.of(), List.of(), Set.of());
		assertEquals(topology.ownersFor(EAST), List.of(new VmId("b")));
		assertTrue(topology.routers().contains(new VmId("a")));
	}

	@Test
	public void testLeavingVmOwnsNothingButRoutes() {
		Topology topology = build(Set.of(), Set.of(), Set.of(), List.of(), Set.of());
		assertFalse(topology.owners().get(EAST).contains(new VmId("leaver")));
		assertTrue(topology.routers().contains(new VmId("leaver")));
	}

	private static Topology build(Set<DataCentreId> dataCentres, Set<VmId> vms, Set<UpstreamId> upstreams,
			List<String> listed, Set<UpstreamId> reporting) {
		Members members = new Members();
		members.offered(new VmList(1, List.of(entry("a", false), entry("b", false), entry("leaver", true)), listed));
		ControlState control = new ControlState(0, "", "", dataCentres, vms, upstreams);
		return new TopologyBuilder(new VmId("a"), EAST).build(configuration(), control, members, reporting);
	}

	private static VmEntry entry(String vm, boolean leaving) {
		return new VmEntry(new VmId(vm), EAST, "127.0.0.1:1", leaving);
	}

	private static Configuration configuration() {
		String uses = "[pool p]\nkind = service\nwarm-limit = 1\ncold-limit = 1\n" + upstream("u1", "east", 1)
				+ upstream("u2", "west", 2);
		return ConfigurationReader.ForIni.INSTANCE.read("[plan gold]\nweight = 1\nmax-queued = 1\n", uses);
	}

	private static String upstream(String name, String dataCentre, int port) {
		return "[upstream " + name + "]\npool = p\ndata-centre = " + dataCentre + "\naddress = 127.0.0.1:" + port
				+ "\n";
	}

}
