package org.ebonyford.placement;

import org.testng.annotations.Test;

import org.ebonyford.share.ShareDecision;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class CalmWatchTest {

	@Test
	public void testStormOfRequestsLooksAtBusyEnginesNowAndThen() {
		assertEquals(looks(CalmWatch.forRoom(), false), 20);
		assertEquals(looks(CalmWatch.forTurns(), false), 100);
	}

	@Test
	public void testEachRequestLooksWhileEnginesAreCalm() {
		assertEquals(looks(CalmWatch.forRoom(), true), 1_000);
		assertEquals(looks(CalmWatch.forTurns(), true), 1_000);
	}

	@Test
	public void testCalmEngineIsFoundSoon() {
		CalmWatch watch = CalmWatch.forRoom();
		watch.looked(false, 1_000);
		assertTrue(watch.worthLooking(1, 1_050));
	}

	@Test
	public void testWhoGotLittleLooksMoreOften() {
		CalmWatch watch = CalmWatch.forTurns();
		watch.looked(false, 1_000);
		assertTrue(watch.worthLooking(0.3, 1_002));
		assertFalse(watch.worthLooking(1, 1_002));
		assertFalse(watch.worthLooking(0, 1_001), "a look costs too much of a small VM to be taken each time");
	}

	@Test
	public void testTurnsOfOneOrganisationSilenceNoOther() {
		CalmWatches watches = new CalmWatches();
		watches.of("a", ShareDecision.UNLIMITED).looked(false, 1_000);
		assertFalse(watches.of("a", ShareDecision.UNLIMITED).worthLooking(1, 1_001));
		assertTrue(watches.of("b", ShareDecision.UNLIMITED).worthLooking(1, 1_001));
	}

	private static int looks(CalmWatch watch, boolean taken) {
		int looks = 0;
		for (int millis = 0; millis < 1_000; millis++) {
			if (watch.worthLooking(1, millis)) {
				watch.looked(taken, millis);
				looks++;
			}
		}
		return looks;
	}

}
