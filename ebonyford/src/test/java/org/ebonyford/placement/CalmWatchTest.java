package org.ebonyford.placement;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
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
		assertTrue(watch.worthLooking(1_050));
	}

	private static int looks(CalmWatch watch, boolean taken) {
		int looks = 0;
		for (int millis = 0; millis < 1_000; millis++) {
			if (watch.worthLooking(millis)) {
				watch.looked(taken, millis);
				looks++;
			}
		}
		return looks;
	}

}
