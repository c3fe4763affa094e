package org.ebonyford.directory;

import java.util.List;

import org.testng.annotations.Test;

import org.ebonyford.directory.RouterRoster.Member;

import static org.testng.Assert.assertEquals;

public class RouterRosterTest {

	@Test
	public void testSilentRouterCountsUntilItMustBeGone() {
		RouterRoster roster = new RouterRoster("a");
		roster.announced(new Member("b", "dc1", "10.0.0.2", 1, 2, 0));
		assertEquals(roster.names(RouterRoster.GONE_MILLIS - 1), List.of("a", "b"));
		assertEquals(roster.names(RouterRoster.GONE_MILLIS), List.of("a"));
	}

	@Test
	public void testHeardRouterStays() {
		RouterRoster roster = new RouterRoster("a");
		roster.announced(new Member("b", "dc1", "10.0.0.2", 1, 2, 0));
		roster.heard("b", 50_000);
		assertEquals(roster.peers(100_000).size(), 1);
	}

	@Test
	public void testWithdrawnRouterIsGone() {
		RouterRoster roster = new RouterRoster("a");
		roster.announced(new Member("b", "dc1", "10.0.0.2", 1, 2, 0));
		roster.withdrawn("b");
		assertEquals(roster.names(1), List.of("a"));
	}

	@Test
	public void testOwnAnnouncementIsNoPeer() {
		RouterRoster roster = new RouterRoster("a");
		roster.announced(new Member("a", "dc1", "10.0.0.1", 1, 2, 0));
		assertEquals(roster.peers(0), List.of());
	}

	@Test
	public void testRoutersOfOtherDataCentresAreToldApart() {
		RouterRoster roster = new RouterRoster("a");
		roster.announced(new Member("b", "dc1", "10.0.0.2", 1, 2, 0));
		assertEquals(roster.elsewhere("dc1", 10).size(), 1, "with one data centre only, all others count");
		roster.announced(new Member("c", "dc2", "10.0.0.3", 1, 2, 0));
		assertEquals(roster.elsewhere("dc1", 10).get(0).name(), "c");
		assertEquals(roster.elsewhere("dc1", 10).size(), 1);
	}

}
