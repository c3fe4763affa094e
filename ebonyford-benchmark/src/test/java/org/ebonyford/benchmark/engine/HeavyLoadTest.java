package org.ebonyford.benchmark.engine;

import java.util.List;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/**
 * Plays heavy loads on a model of six engines and six routers, and checks what callers
 * get.
 */
public class HeavyLoadTest {

	private static final int[] EVEN = { 1, 2, 3, 4, 5, 6, 7, 8 };

	private static final int[] ONE_LARGE = { 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 2, 3, 4, 5, 6, 7, 8 };

	/**
	 * The stated tokens a second: enough for the small organisations' requests of some
	 * 9,400 tokens at a load of 160 a second, and an even share for the large one.
	 */
	private static final double STATED = 700_000;

	@DataProvider
	public Object[][] seeds() {
		return new Object[][] { { 1L }, { 2L }, { 3L }, { 4L } };
	}

	@Test(dataProvider = "seeds")
	public void testSharedPartsAreReadOnFewEngines(long seed) {
		List<Request> load = Request.draw(seed, 20_000, 70, EVEN, 100);
		long product = fleet(Policy.ForProduct.INSTANCE, 0).play(load).rereadTokens();
		long naive = fleet(Policy.ForFewestRequests.INSTANCE, 0).play(load).rereadTokens();
		assertTrue(product < naive / 2, product + " tokens read again, " + naive + " without homes");
	}

	/**
	 * The load of more requests than the homes of their prompts serve in time.
	 */
	@Test(dataProvider = "seeds")
	public void testSharedPartsOfABusyHomeAreTransferred(long seed) {
		List<Request> load = Request.draw(seed, 20_000, 125, EVEN, 100);
		EngineFleet product = fleet(Policy.ForProduct.INSTANCE, 0).play(load);
		EngineFleet before = fleet(Policy.ForProductWithoutTransfer.INSTANCE, 0).play(load);
		assertTrue(product.rereadTokens() < before.rereadTokens() / 2,
				product.rereadTokens() + " tokens read again, " + before.rereadTokens() + " without transfers");
		assertTrue(product.onTime() > before.onTime(),
				"on time " + product.onTime() + ", " + before.onTime() + " without transfers");
	}

	/**
	 * The load of prompts of very different lengths, more than can be served: the longest
	 * tenth is to be sent within 15 in 100 of all.
	 */
	@Test(dataProvider = "seeds")
	public void testLongestPromptsAreNotStarved(long seed) {
		List<Request> load = Request.drawMixed(seed, 20_000, 90, ONE_LARGE, 100);
		EngineFleet fleet = fleet(Policy.ForProduct.INSTANCE, 500_000).play(load);
		double longest = fleet.longestSent(0.1);
		double all = fleet.longestSent(1);
		assertTrue(longest > all - 0.15, longest + " of the longest tenth were sent, " + all + " of all");
	}

	@Test(dataProvider = "seeds")
	public void testMoreIsOnTimeThanWithoutRefusals(long seed) {
		List<Request> load = Request.draw(seed, 20_000, 130, EVEN, 100);
		double product = fleet(Policy.ForProduct.INSTANCE, 0).play(load).onTime();
		double naive = fleet(Policy.ForFewestRequests.INSTANCE, 0).play(load).onTime();
		assertTrue(product > naive, "on time " + product + ", " + naive + " without refusals and homes");
	}

	@Test(dataProvider = "seeds")
	public void testLargeOrganisationDoesNotDisplaceTheOthers(long seed) {
		EngineFleet fleet = fleet(Policy.ForProduct.INSTANCE, 0).play(Request.draw(seed, 20_000, 160, ONE_LARGE, 100));
		double large = share(fleet, 1);
		for (int organisation = 2; organisation <= 8; organisation++) {
			double small = share(fleet, organisation);
			assertTrue(small > 0.5 && small > large,
					"organisation " + organisation + " got " + small + " of what it asked, the large one " + large);
		}
	}

	@Test(dataProvider = "seeds")
	public void testNothingIsRefusedWhileThereIsRoom(long seed) {
		EngineFleet fleet = fleet(Policy.ForProduct.INSTANCE, 0).play(Request.draw(seed, 20_000, 25, ONE_LARGE, 100));
		assertTrue(fleet.outcome(1).refused() == 0, fleet.outcome(1).refused() + " of " + fleet.outcome(1).asked());
	}

	/**
	 * The load of an organisation that asks several times the stated rate. Without the
	 * stated rate, what is served is divided, and the others wait behind the large one.
	 */
	@Test(dataProvider = "seeds")
	public void testOrganisationsWithinTheirSharesAreOnTimeBesideALargeOne(long seed) {
		List<Request> load = Request.draw(seed, 20_000, 160, ONE_LARGE, 100);
		double stated = smallOnTime(fleet(Policy.ForProduct.INSTANCE, STATED).play(load));
		double unstated = smallOnTime(fleet(Policy.ForProduct.INSTANCE, 0).play(load));
		assertTrue(stated > 0.95, stated + " of the small organisations' requests are on time");
		assertTrue(stated > unstated, stated + " are on time, and " + unstated + " where no rate is stated");
	}

	@Test(dataProvider = "seeds")
	public void testRoomIsNotLeftIdleForTheSakeOfShares(long seed) {
		List<Request> load = Request.draw(seed, 20_000, 25, ONE_LARGE, 100);
		EngineFleet fleet = fleet(Policy.ForProduct.INSTANCE, 100_000).play(load);
		assertTrue(fleet.outcome(1).refused() == 0, fleet.outcome(1).refused() + " of " + fleet.outcome(1).asked());
	}

	private static EngineFleet fleet(Policy policy, double statedPerSecond) {
		return new EngineFleet(6, 6, policy, statedPerSecond);
	}

	private static double smallOnTime(EngineFleet fleet) {
		double asked = 0;
		double onTime = 0;
		for (int organisation = 2; organisation <= 8; organisation++) {
			asked += fleet.outcome(organisation).asked();
			onTime += fleet.outcome(organisation).onTime();
		}
		return onTime / asked;
	}

	private static double share(EngineFleet fleet, int organisation) {
		return (double) fleet.outcome(organisation).begun() / fleet.outcome(organisation).asked();
	}

}
