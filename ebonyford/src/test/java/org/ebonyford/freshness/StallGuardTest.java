package org.ebonyford.freshness;

import org.testng.annotations.Test;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against the use of data that was read before the process was held up.
 */
public class StallGuardTest {

	private final StallGuard guard = new StallGuard();

	@Test
	public void testOldDataIsUsedWhileTheProcessRuns() {
		for (long now = 0; now <= 10_000; now += 100) {
			assertFalse(this.guard.check(now));
		}
		assertFalse(this.guard.outdated(9_000, 10_000));
	}

	@Test
	public void testDataFromBeforeAStallIsOutdated() {
		StallGuard stalled = new StallGuard();
		stalled.check(0);
		assertTrue(stalled.check(3_000));
		assertTrue(stalled.outdated(3_100, 3_000));
	}

	@Test
	public void testDataReadAfterAStallIsNotOutdatedLater() {
		StallGuard stalled = new StallGuard();
		stalled.check(0);
		stalled.check(3_000);
		assertFalse(stalled.outdated(0, 3_000));
		assertFalse(stalled.outdated(5_000, 8_000));
	}

	@Test
	public void testRecentDataIsUsedThoughItIsFromBeforeAStall() {
		StallGuard stalled = new StallGuard();
		stalled.check(0);
		stalled.check(600);
		assertFalse(stalled.outdated(1_500, 600));
	}

	@Test
	public void testDataOfUnknownAgeIsOutdated() {
		assertTrue(new StallGuard().outdated(Freshness.UNKNOWN_AGE, 0));
	}

}
