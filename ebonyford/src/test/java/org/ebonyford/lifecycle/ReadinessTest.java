package org.ebonyford.lifecycle;

import org.testng.annotations.Test;

import org.ebonyford.freshness.Freshness;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

public class ReadinessTest {

	private static final long OLD = 10_000;

	@Test
	public void testRouterInTouchIsReady() {
		assertEquals(Readiness.obstacle(new Readiness.View(false, true, 500, true, 500, 5, 100)), "");
	}

	@Test
	public void testRouterThatEndsOrKnowsNothingIsNotReady() {
		assertNotEquals(Readiness.obstacle(new Readiness.View(true, true, 500, true, 500, 5, 100)), "");
		assertNotEquals(Readiness.obstacle(new Readiness.View(false, false, 500, true, 500, 5, 100)), "");
	}

	@Test
	public void testRouterThatLostTheStoreAloneIsNotReady() {
		assertNotEquals(Readiness.obstacle(new Readiness.View(false, true, OLD, false, 300, 5, 100)), "");
	}

	@Test
	public void testAllStayReadyWhileTheStoreIsDown() {
		assertEquals(Readiness.obstacle(new Readiness.View(false, true, OLD, false, OLD, 5, 100)), "");
	}

	@Test
	public void testRouterOfADataCentreThatIsCutOffIsNotReady() {
		assertNotEquals(Readiness.obstacle(new Readiness.View(false, true, 1_500, false, OLD, 4, 1_200)), "");
		assertEquals(Readiness.obstacle(new Readiness.View(false, true, 1_500, false, OLD, 4, 600)), "",
				"a report or two may be lost");
	}

	@Test
	public void testSilentPeersDoNotMatterWhileTheStoreAnswers() {
		assertEquals(Readiness.obstacle(new Readiness.View(false, true, 500, true, OLD, 4, 5_000)), "");
	}

	@Test
	public void testRouterThatWokeUpIsNotReadyBeforeItHasRead() {
		assertNotEquals(
				Readiness.obstacle(
						new Readiness.View(false, true, Freshness.UNKNOWN_AGE, true, Freshness.UNKNOWN_AGE, 5, 100)),
				"");
	}

	@Test
	public void testOnlyRouterStaysReady() {
		assertEquals(Readiness.obstacle(new Readiness.View(false, true, OLD, false, Freshness.UNKNOWN_AGE, 0, OLD)),
				"");
	}

}
