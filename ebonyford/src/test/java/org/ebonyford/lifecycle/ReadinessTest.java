package org.ebonyford.lifecycle;

import org.testng.annotations.Test;

import org.ebonyford.freshness.Freshness;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

/**
 * Guards against a router that stays ready without current keys or upstreams, and against
 * all routers becoming unready at once while the store is down.
 */
public class ReadinessTest {

	private static final long OLD = 10_000;

	@Test
	public void testConnectedRouterIsReady() {
		assertEquals(Readiness.obstacle(new Readiness.View(false, true, 500, true, 500, 5, 100)), "");
	}

	@Test
	public void testRouterThatEndsOrHasNoStateIsNotReady() {
		assertNotEquals(Readiness.obstacle(new Readiness.View(true, true, 500, true, 500, 5, 100)), "");
		assertNotEquals(Readiness.obstacle(new Readiness.View(false, false, 500, true, 500, 5, 100)), "");
	}

	@Test
	public void testOnlyRouterThatLostTheStoreIsNotReady() {
		assertNotEquals(Readiness.obstacle(new Readiness.View(false, true, OLD, false, 300, 5, 100)), "");
	}

	@Test
	public void testAllStayReadyWhileTheStoreIsDown() {
		assertEquals(Readiness.obstacle(new Readiness.View(false, true, OLD, false, OLD, 5, 100)), "");
	}

	@Test
	public void testRouterOfAPartitionedDataCentreIsNotReady() {
		assertNotEquals(Readiness.obstacle(new Readiness.View(false, true, 1_500, false, OLD, 4, 1_200)), "");
		assertEquals(Readiness.obstacle(new Readiness.View(false, true, 1_500, false, OLD, 4, 600)), "",
				"one or two lost reports must not make a router unready");
	}

	@Test
	public void testSilentPeersDoNotMatterWhileTheStoreAnswers() {
		assertEquals(Readiness.obstacle(new Readiness.View(false, true, 500, true, OLD, 4, 5_000)), "");
	}

	@Test
	public void testResumedRouterIsNotReadyBeforeItsNextRead() {
		assertNotEquals(
				Readiness.obstacle(
						new Readiness.View(false, true, Freshness.UNKNOWN_AGE, true, Freshness.UNKNOWN_AGE, 5, 100)),
				"");
	}

	@Test
	public void testSingleRouterStaysReady() {
		assertEquals(Readiness.obstacle(new Readiness.View(false, true, OLD, false, Freshness.UNKNOWN_AGE, 0, OLD)),
				"");
	}

}
