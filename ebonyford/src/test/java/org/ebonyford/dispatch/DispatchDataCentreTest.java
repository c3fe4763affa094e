package org.ebonyford.dispatch;

import java.util.HashSet;
import java.util.Set;

import org.testng.annotations.Test;

import org.ebonyford.configuration.Pool;
import org.ebonyford.identity.UpstreamId;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests {@link Dispatch} in a fleet of two data centres. Routers and engines with even
 * numbers stand in the first one.
 */
public class DispatchDataCentreTest {

	private static final Pool POOL = new Pool(FakeFleet.POOL, Pool.Kind.ENGINE, 8, 8);

	private static final int ROUTERS = 6;

	@Test
	public void testIdleSlotsOfTheOtherDataCentreAreUsed() {
		FakeFleet fleet = fleet(1);
		load(fleet, 300, 0, 2);
		fleet.run(2_000);
		assertTrue(fleet.utilisation(10_000) >= 0.97);
	}

	@Test
	public void testLocalEnginesAreTakenFirst() {
		FakeFleet fleet = fleet(2);
		load(fleet, 30, 0, 2, 4);
		int[] used = new int[2];
		fleet.run(20_000, (at) -> fleet.engines.forEach((engine) -> used[engine.centre()] += engine.running.size()));
		assertTrue(used[0] > 9 * used[1], used[0] + " local, " + used[1] + " remote");
	}

	@Test
	public void testClosedEnginesGetNoNewWorkAndTheOthersServe() {
		FakeFleet fleet = fleet(3);
		load(fleet, 200, 0, 1);
		fleet.run(5_000);
		Set<UpstreamId> first = new HashSet<>();
		for (FakeFleet.Engine engine : fleet.engines) {
			if (engine.centre() == 0) {
				first.add(engine.id);
			}
		}
		fleet.close(first);
		fleet.run(500);
		for (FakeFleet.Engine engine : fleet.engines) {
			assertEquals(engine.running.isEmpty(), first.contains(engine.id));
		}
		assertEquals(fleet.refusals.size(), 0);
		fleet.close(Set.of());
		fleet.run(2_000);
		assertTrue(fleet.utilisation(5_000) >= 0.97);
	}

	@Test
	public void testRoutersOfTheNextDataCentreTakeOverForOneWithoutAny() {
		FakeFleet fleet = fleet(4);
		load(fleet, 300, 1, 3);
		for (int router = 0; router < ROUTERS; router += 2) {
			fleet.routers.get(router).kill();
		}
		fleet.list(Set.of(1, 3, 5));
		fleet.run(12_000);
		assertTrue(fleet.utilisation(5_000) >= 0.97);
		assertEquals(fleet.excess, 0);
	}

	@Test
	public void testDataCentresThatAreCutOffServeOnTheirOwn() {
		FakeFleet fleet = fleet(5);
		fleet.cut((one, other) -> one % 2 != other % 2);
		load(fleet, 300, 0, 1);
		fleet.run(2_000);
		assertTrue(fleet.utilisation(5_000) >= 0.97);
		assertEquals(fleet.excess, 0);
	}

	private static FakeFleet fleet(long seed) {
		FakeFleet fleet = new FakeFleet(seed, (router) -> DispatchSettings.defaults(), POOL, ROUTERS, 6);
		fleet.centres = 2;
		fleet.organisation("one", 1).start().run(5_000);
		return fleet;
	}

	private static void load(FakeFleet fleet, double rate, int... routers) {
		for (int router : routers) {
			fleet.arrivals("one", router, rate, 1, Long.MAX_VALUE);
		}
	}

}
