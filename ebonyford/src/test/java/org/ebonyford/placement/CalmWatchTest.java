package org.ebonyford.placement;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class CalmWatchTest {

	@Test
	public void testStormOfRequestsLooksAtBusyEnginesNowAndThen() {
		assertEquals(looks(false), 20);
	}

	@Test
	public void testEachRequestLooksWhileEnginesAreCalm() {
		assertEquals(looks(true), 1_000);
	}

	@Test
	public void testCalmEngineIsFoundSoon() {
		CalmWatch watch = new CalmWatch();
		watch.looked(false, 1_000);
		assertTrue(watch.worthLooking(1_050));
	}

	private static int looks(boolean taken) {
		CalmWatch watch = new CalmWatch();
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
