package org.ebonyford.dispatch;

import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntFunction;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.ebonyford.configuration.Pool;
import org.ebonyford.slot.SlotOwners;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests {@link Dispatch} in a fleet with faults, beside a naive fleet whose routers
 * decide on their own by the last load report.
 */
public class DispatchFaultTest {

	private static final Pool POOL = new Pool(FakeFleet.POOL, Pool.Kind.ENGINE, 8, 2);

	private static final int ROUTERS = 7;

	private static final long RECOVERY_MILLIS = 45_000;

	private static final IntFunction<DispatchSettings> CHOSEN = (router) -> DispatchSettings.defaults();

	private static final IntFunction<DispatchSettings> NAIVE = (router) -> {
		SlotOwners all = (upstream, slot, candidates) -> java.util.Optional.of(FakeFleet.vm(router));
		return DispatchSettings.defaults().withSlotOwners(all);
	};

	@DataProvider
	public Object[][] costs() {
		return new Object[][] { { 1 }, { 20 } };
	}

	@Test(dataProvider = "costs")
	public void testFreshStartStaysBelowTheLimit(int scale) {
		verify(scale, 0, (fleet) -> fleet.run(10_000));
	}

	@Test(dataProvider = "costs")
	public void testSecondColdTurnStaysBelowTheLimit(int scale) {
		verify(scale, 15_000, (fleet) -> {
			for (FakeFleet.Engine engine : fleet.engines) {
				engine.restart(1_000);
				fleet.run(300);
			}
		});
	}

	@Test(dataProvider = "costs")
	public void testOwnersKilledInWarmUpLeaveNoRoomTwice(int scale) {
		verify(scale, 3_500, (fleet) -> {
			fleet.lingering = true;
			fleet.routers.get(2).kill();
			fleet.run(500);
			fleet.list(Set.of(0, 1, 3, 4, 5, 6));
			fleet.run(4_000);
			fleet.routers.get(3).kill();
			fleet.run(500);
			fleet.list(Set.of(0, 1, 4, 5, 6));
		});
	}

	@Test(dataProvider = "costs")
	public void testOwnersPausedPastTheirGrantsActOnNothingOld(int scale) {
		verify(scale, 15_000, (fleet) -> {
			for (int router = 0; router < 5; router++) {
				fleet.routers.get(router).freeze(1_500 + 100 * router);
				fleet.run(700);
			}
		});
	}

	@Test(dataProvider = "costs")
	public void testOwnerPausedWhileItsSlotsMoveAndReturnWaits(int scale) {
		verify(scale, 15_000, (fleet) -> {
			fleet.routers.get(1).freeze(15_000);
			fleet.run(2_000);
			fleet.list(Set.of(0, 2, 3, 4, 5, 6));
			fleet.run(11_000);
			fleet.list(Set.of(0, 1, 2, 3, 4, 5, 6));
		});
	}

	@Test(dataProvider = "costs")
	public void testCutBetweenRoutersOfADataCentreMakesNoSecondOwner(int scale) {
		verify(scale, 15_000, (fleet) -> {
			fleet.cut((one, other) -> (one < 3) != (other < 3));
			fleet.run(12_000);
			fleet.heal();
		});
	}

	@Test(dataProvider = "costs")
	public void testListThatArrivesLateMakesNoSecondOwner(int scale) {
		verify(scale, 15_000, (fleet) -> {
			fleet.listLag = 5_000;
			fleet.list(Set.of(0, 1, 2, 3, 4));
			fleet.run(6_000);
			fleet.list(Set.of(0, 1, 2, 3, 4, 5, 6));
			fleet.run(3_000);
			fleet.list(Set.of(1, 2, 3, 4, 5, 6));
		});
	}

	@Test(dataProvider = "costs")
	public void testRoutersThatRestartEmptyLeaveNoRoomTwice(int scale) {
		verify(scale, 15_000, (fleet) -> {
			fleet.lingering = true;
			for (int router = 0; router < 3; router++) {
				fleet.routers.get(router).kill();
				fleet.run(200);
				fleet.routers.get(router).start();
				fleet.run(4_000);
			}
		});
	}

	private static void verify(int scale, long before, Consumer<FakeFleet> fault) {
		FakeFleet naive = run(NAIVE, scale, before, fault);
		assertTrue(naive.excess > 0, "The naive fleet should exceed the limit");
		for (double load : new double[] { 0.4, 3 }) {
			FakeFleet chosen = fleet(CHOSEN, scale, load);
			chosen.run(before);
			fault.accept(chosen);
			chosen.run(RECOVERY_MILLIS);
			assertEquals(chosen.excess, 0);
			assertEquals(chosen.blocked(), 0);
		}
	}

	private static FakeFleet run(IntFunction<DispatchSettings> settings, int scale, long before,
			Consumer<FakeFleet> fault) {
		FakeFleet fleet = fleet(settings, scale, 3);
		fleet.run(before);
		fleet.excess = 0;
		fault.accept(fleet);
		fleet.run(1_000);
		return fleet;
	}

	private static FakeFleet fleet(IntFunction<DispatchSettings> settings, int scale, double load) {
		FakeFleet fleet = new FakeFleet(scale, settings, POOL, ROUTERS, 6).organisation("one", 1)
			.organisation("two", 1)
			.start();
		fleet.leastCost *= scale;
		fleet.costRange *= scale;
		double rate = load * 48 * 1_000 / (scale * 200 * 2 * ROUTERS);
		for (int router = 0; router < ROUTERS; router++) {
			fleet.arrivals("one", router, rate, 1, Long.MAX_VALUE);
			fleet.arrivals("two", router, rate, 1, Long.MAX_VALUE);
		}
		return fleet;
	}

}
