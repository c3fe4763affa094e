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

	@DataProvider
	public Object[][] seeds() {
		return new Object[][] { { 1L }, { 2L }, { 3L }, { 4L } };
	}

	@Test(dataProvider = "seeds")
	public void testSharedPartsAreReadOnFewEngines(long seed) {
		List<Request> load = Request.draw(seed, 20_000, 70, EVEN, 100);
		long product = new EngineFleet(6, 6, Policy.ForProduct.INSTANCE).play(load).rereadTokens();
		long naive = new EngineFleet(6, 6, Policy.ForFewestRequests.INSTANCE).play(load).rereadTokens();
		assertTrue(product < naive / 2, product + " tokens read again, " + naive + " without homes");
	}

	@Test(dataProvider = "seeds")
	public void testMoreIsOnTimeThanWithoutRefusals(long seed) {
		List<Request> load = Request.draw(seed, 20_000, 130, EVEN, 100);
		double product = new EngineFleet(6, 6, Policy.ForProduct.INSTANCE).play(load).onTime();
		double naive = new EngineFleet(6, 6, Policy.ForFewestRequests.INSTANCE).play(load).onTime();
		assertTrue(product > naive, "on time " + product + ", " + naive + " without refusals and homes");
	}

	@Test(dataProvider = "seeds")
	public void testLargeOrganisationDoesNotDisplaceTheOthers(long seed) {
		EngineFleet fleet = new EngineFleet(6, 6, Policy.ForProduct.INSTANCE)
			.play(Request.draw(seed, 20_000, 160, ONE_LARGE, 100));
		double large = share(fleet, 1);
		for (int organisation = 2; organisation <= 8; organisation++) {
			double small = share(fleet, organisation);
			assertTrue(small > 0.5 && small > large,
					"organisation " + organisation + " got " + small + " of what it asked, the large one " + large);
		}
	}

	@Test(dataProvider = "seeds")
	public void testNothingIsRefusedWhileThereIsRoom(long seed) {
		EngineFleet fleet = new EngineFleet(6, 6, Policy.ForProduct.INSTANCE)
			.play(Request.draw(seed, 20_000, 25, ONE_LARGE, 100));
		assertTrue(fleet.outcome(1).refused() == 0, fleet.outcome(1).refused() + " of " + fleet.outcome(1).asked());
	}

	private static double share(EngineFleet fleet, int organisation) {
		return (double) fleet.outcome(organisation).begun() / fleet.outcome(organisation).asked();
	}

}
