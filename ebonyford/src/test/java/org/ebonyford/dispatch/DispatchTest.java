package org.ebonyford.dispatch;

import org.testng.annotations.Test;

import org.ebonyford.configuration.Pool;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests {@link Dispatch}.
 */
public class DispatchTest {

	private static final Pool POOL = new Pool(FakeFleet.POOL, Pool.Kind.ENGINE, 8, 2);

	@Test
	public void testEveryRequestIsServedInAFleet() {
		FakeFleet fleet = new FakeFleet(1, (router) -> DispatchSettings.defaults(), POOL, 7, 6).organisation("one", 1)
			.start();
		for (int router = 0; router < 7; router++) {
			fleet.arrivals("one", router, 10, 1, 20_000);
		}
		fleet.run(30_000);
		assertEquals(fleet.queued() + fleet.running(), 0);
		assertTrue(fleet.refusals.size() < 100);
		assertEquals(fleet.excess, 0);
	}

}
