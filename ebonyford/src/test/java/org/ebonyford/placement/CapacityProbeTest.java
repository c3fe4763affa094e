package org.ebonyford.placement;

import org.testng.annotations.Test;

import org.ebonyford.share.ShareDecision;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class CapacityProbeTest {

	@Test
	public void testStormOfRequestsLooksAtBusyEnginesNowAndThen() {
		assertEquals(looks(CapacityProbe.forSpareCapacity(), false), 20);
		assertEquals(looks(CapacityProbe.forTurns(), false), 100);
	}

	@Test
	public void testEachRequestLooksWhileEnginesAreCalm() {
		assertEquals(looks(CapacityProbe.forSpareCapacity(), true), 1_000);
		assertEquals(looks(CapacityProbe.forTurns(), true), 1_000);
	}

	@Test
	public void testCalmEngineIsFoundSoon() {
		CapacityProbe watch = CapacityProbe.forSpareCapacity();
		watch.recordResult(false, 1_000);
		assertTrue(watch.due(1, 1_050));
	}

	@Test
	public void testWhoGotLittleLooksMoreOften() {
		CapacityProbe watch = CapacityProbe.forTurns();
		watch.recordResult(false, 1_000);
		assertTrue(watch.due(0.3, 1_002));
		assertFalse(watch.due(1, 1_002));
		assertFalse(watch.due(0, 1_001), "a look costs too much of a small VM to be taken each time");
	}

	@Test
	public void testTurnsOfOneOrganisationSilenceNoOther() {
		CapacityProbes watches = new CapacityProbes();
		watches.of("a", ShareDecision.UNLIMITED).recordResult(false, 1_000);
		assertFalse(watches.of("a", ShareDecision.UNLIMITED).due(1, 1_001));
		assertTrue(watches.of("b", ShareDecision.UNLIMITED).due(1, 1_001));
	}

	private static int looks(CapacityProbe watch, boolean taken) {
		int looks = 0;
		for (int millis = 0; millis < 1_000; millis++) {
			if (watch.due(1, millis)) {
				watch.recordResult(taken, millis);
				looks++;
			}
		}
		return looks;
	}

}
