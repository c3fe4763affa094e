package org.ebonyford.dispatch;

import java.util.stream.IntStream;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.ebonyford.configuration.Pool;

import static org.testng.Assert.assertTrue;

/**
 * Tests the fairness of {@link Dispatch} in a fleet beside routers that don't talk to
 * each other, one global queue with perfect knowledge, and queues without fairness.
 */
public class DispatchFairnessTest {

	private static final Pool POOL = new Pool(FakeFleet.POOL, Pool.Kind.ENGINE, 8, 2);

	private static final int ENGINES = 6;

	private static final int ROUTERS = 7;

	private static final long SLOTS = 48;

	private static final long LARGEST_COST = 350;

	/**
	 * The bound that docs/design/fairness.md derives, in cost at weight 1; a slot gives
	 * one unit of cost a millisecond here.
	 */
	private static final long BOUND = 2
			* (SLOTS * LARGEST_COST + (DispatchSettings.Times.defaults().gossip() + 2) * SLOTS + LARGEST_COST);

	private static final int COST = 480;

	private static final String[] MANY = IntStream.range(0, 16)
		.mapToObj((index) -> "organisation-" + index)
		.toArray(String[]::new);

	private static final long END = Long.MAX_VALUE;

	@DataProvider
	public Object[][] seeds() {
		return new Object[][] { { 1 }, { 2 }, { 3 } };
	}

	@Test(dataProvider = "seeds")
	public void testGapIsBoundedAndTenTimesBelowIndependentRouters(int seed) {
		long gap = uneven(seed, ROUTERS, false).gap(30_000, "one", "two", "three", "flood");
		long independent = uneven(seed, ROUTERS, true).gap(30_000, "one", "two", "three", "flood");
		assertTrue(gap <= BOUND, "gap " + gap + ", bound " + BOUND);
		assertTrue(10 * gap <= independent, "gap " + gap + ", independent " + independent);
	}

	@Test(dataProvider = "seeds")
	public void testGapIsWithinThreeTimesThatOfOneGlobalQueue(int seed) {
		long gap = uneven(seed, ROUTERS, false).gap(30_000, "one", "two", "three", "flood");
		long global = uneven(seed, 1, false).gap(30_000, "one", "two", "three", "flood");
		assertTrue(gap <= 3 * global, "gap " + gap + ", global queue " + global);
	}

	@Test(dataProvider = "seeds")
	public void testGapBetweenManyOrganisationsIsThatOfAFewRequests(int seed) {
		long gap = many(seed).gap(20_000, MANY);
		assertTrue(gap <= 6 * COST, "gap " + gap);
	}

	@Test(dataProvider = "seeds")
	public void testSlotsAreUsedWhileWorkWaits(int seed) {
		double used = uneven(seed, ROUTERS, false).utilisation(30_000);
		double independent = uneven(seed, ROUTERS, true).utilisation(30_000);
		assertTrue(used >= 0.97, "used " + used + ", independent " + independent);
		assertTrue(independent < 0.97, "independent " + independent);
	}

	@Test
	public void testSmallOrganisationIsServedBesideAThousandfoldFlood() {
		FakeFleet fair = flooded(false);
		FakeFleet first = flooded(true);
		long demand = 2 * 30 * 200;
		assertTrue(fair.virtual("small") > 0.8 * demand, "served " + fair.virtual("small"));
		assertTrue(first.virtual("small") < 0.2 * demand, "served without fairness " + first.virtual("small"));
	}

	@Test
	public void testRouterThatRestartsEmptyKeepsTheGapBounded() {
		FakeFleet fleet = uneven(4, ROUTERS, false);
		fleet.routers.get(5).kill();
		fleet.run(300);
		fleet.routers.get(5).start();
		long gap = fleet.gap(20_000, "one", "two", "three", "flood");
		assertTrue(gap <= BOUND, "gap " + gap);
	}

	@Test
	public void testGapIsBoundedAgainAfterACutHeals() {
		FakeFleet fleet = uneven(5, ROUTERS, false);
		fleet.cut((one, other) -> (one < 3) != (other < 3));
		long cut = fleet.gap(10_000, "one", "two", "three", "flood");
		fleet.heal();
		fleet.run(20_000);
		long healed = fleet.gap(15_000, "one", "two", "three", "flood");
		assertTrue(healed <= BOUND && healed < cut, "gap " + healed + ", in the cut " + cut);
	}

	@Test
	public void testOrganisationThatReturnsFromIdleClaimsNothingForThePast() {
		long lifted = returned(DispatchSettings.defaults());
		DispatchSettings.Times times = DispatchSettings.Times.defaults();
		long unlifted = returned(DispatchSettings.defaults().withTimes(times.withIdle(END)).withDebtRounds(1_000_000));
		assertTrue(lifted <= BOUND, "gap " + lifted);
		assertTrue(unlifted > BOUND, "gap without a lift " + unlifted);
	}

	private static FakeFleet uneven(long seed, int routers, boolean independent) {
		FakeFleet fleet = new FakeFleet(seed, (router) -> DispatchSettings.defaults(), POOL, routers, ENGINES)
			.organisation("one", 1)
			.organisation("two", 1)
			.organisation("three", 3)
			.organisation("flood", 1)
			.start();
		if (independent) {
			fleet.cut((one, other) -> true);
		}
		fleet.run(5_000);
		double wrong = (routers > 1) ? 4 : 1;
		fleet.arrivals("one", 0, 70, 1 / wrong, END);
		fleet.arrivals("two", 1 % routers, 30, wrong, END);
		fleet.arrivals("two", 2 % routers, 30, wrong, END);
		for (int router = 0; router < ROUTERS; router++) {
			fleet.arrivals("three", router % routers, 30, 1, END);
		}
		fleet.arrivals("flood", 0, 500, 1, END);
		fleet.arrivals("flood", 3 % routers, 1_500, 1, END);
		fleet.run(15_000);
		return fleet;
	}

	private static FakeFleet many(long seed) {
		FakeFleet fleet = new FakeFleet(seed, (router) -> DispatchSettings.defaults(), POOL, ROUTERS, ENGINES);
		fleet.leastCost = COST;
		fleet.costRange = 1;
		for (int index = 0; index < MANY.length; index++) {
			fleet.organisation(MANY[index], weight(index));
		}
		fleet.start().run(5_000);
		for (int index = 0; index < MANY.length; index++) {
			fleet.arrivals(MANY[index], index % ROUTERS, 7 * weight(index), 1, END);
			fleet.arrivals(MANY[index], (index + 3) % ROUTERS, 7 * weight(index), 1, END);
		}
		fleet.run(15_000);
		return fleet;
	}

	private static int weight(int index) {
		return (index % 4 == 0) ? 4 : 1;
	}

	private static FakeFleet flooded(boolean anonymous) {
		FakeFleet fleet = new FakeFleet(6, (router) -> DispatchSettings.defaults(), POOL, ROUTERS, ENGINES)
			.organisation("small", 1)
			.organisation("flood", 1);
		fleet.anonymous = anonymous;
		fleet.start().run(5_000);
		for (int router = 0; router < ROUTERS; router++) {
			fleet.arrivals("flood", router, 2_000.0 / ROUTERS, 1, END);
		}
		fleet.arrivals("small", 2, 2, 1, END);
		fleet.run(30_000);
		return fleet;
	}

	private static long returned(DispatchSettings settings) {
		FakeFleet fleet = new FakeFleet(7, (router) -> settings, POOL, ROUTERS, ENGINES).organisation("steady", 1)
			.organisation("returning", 1)
			.start();
		fleet.run(5_000);
		for (int router = 0; router < ROUTERS; router++) {
			fleet.arrivals("steady", router, 60, 1, END);
		}
		fleet.run(20_000);
		for (int router = 0; router < 2; router++) {
			fleet.arrivals("returning", router, 200, 1, END);
		}
		fleet.run(1_000);
		return fleet.gap(15_000, "steady", "returning");
	}

}
