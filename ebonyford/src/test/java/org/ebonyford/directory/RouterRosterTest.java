package org.ebonyford.directory;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

import org.testng.annotations.Test;

import org.ebonyford.directory.RouterRoster.Member;
import org.ebonyford.retry.ColdUpstreamLimit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

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
	public void testWithdrawnRouterIsNoPeerAndCountsUntilItMustBeGone() {
		RouterRoster roster = new RouterRoster("a");
		roster.announced(new Member("b", "dc1", "10.0.0.2", 1, 2, 0));
		roster.withdrawn("b", 1);
		assertEquals(roster.peers(1), List.of());
		assertEquals(roster.names(RouterRoster.LEAVING_MILLIS), List.of("a", "b"));
		assertEquals(roster.names(RouterRoster.LEAVING_MILLIS + 1), List.of("a"));
	}

	@Test
	public void testRouterThatComesBackCountsOnce() {
		RouterRoster roster = new RouterRoster("a");
		roster.announced(new Member("b", "dc1", "10.0.0.2", 1, 2, 0));
		roster.withdrawn("b", 1);
		roster.announced(new Member("b", "dc1", "10.0.0.2", 1, 2, 2));
		assertEquals(roster.names(2), List.of("a", "b"));
	}

	@Test
	public void testRoutersThatLeaveInTurnDoNotExceedAColdUpstreamsLimitWithTheOthers() {
		double limit = 29;
		List<String> all = IntStream.range(0, 7).mapToObj((index) -> "r" + index).toList();
		Map<String, RouterRoster> rosters = new HashMap<>();
		for (String self : all) {
			rosters.put(self, new RouterRoster(self));
			all.forEach((name) -> rosters.get(self).announced(new Member(name, "dc1", "10.0.0.1", 1, 2, 0)));
		}
		for (int leaving = 0; leaving < 4; leaving++) {
			int number = leaving;
			long now = leaving * 1_000L;
			rosters.values().forEach((roster) -> roster.withdrawn(all.get(number), now));
			int sum = all.stream()
				.mapToInt((self) -> ColdUpstreamLimit.requestsPerSecond("u", limit, self, rosters.get(self).names(now)))
				.sum();
			assertTrue(sum <= limit, sum + " requests a second while " + (leaving + 1) + " routers leave");
		}
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
