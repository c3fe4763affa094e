package org.ebonyford.placement;

import org.testng.annotations.Test;

import org.ebonyford.share.ShareDecision;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests {@link CapacityProbe} and {@link CapacityProbes}. Without the limit, a router
 * under heavy overload probes the engines for each request that it rejects, and cannot
 * keep up with its callers. Organisations that have used little of their share must still
 * find free capacity soon, and a rejected organisation must not suppress the probes of
 * another.
 */
public class CapacityProbeTest {

	@Test
	public void testProbesOfBusyEnginesAreLimited() {
		assertEquals(countProbes(CapacityProbe.forSpareCapacity(), false), 20);
		assertEquals(countProbes(CapacityProbe.forTurns(), false), 100);
	}

	@Test
	public void testEachRequestProbesWhileRequestsAreAdmitted() {
		assertEquals(countProbes(CapacityProbe.forSpareCapacity(), true), 1_000);
		assertEquals(countProbes(CapacityProbe.forTurns(), true), 1_000);
	}

	@Test
	public void testProbeIsDueAfterTheInterval() {
		CapacityProbe probe = CapacityProbe.forSpareCapacity();
		probe.recordResult(false, 1_000);
		assertTrue(probe.due(1, 1_050));
	}

	@Test
	public void testLowShareShortensTheInterval() {
		CapacityProbe probe = CapacityProbe.forTurns();
		probe.recordResult(false, 1_000);
		assertTrue(probe.due(0.3, 1_002));
		assertFalse(probe.due(1, 1_002));
		assertFalse(probe.due(0, 1_001), "the minimum interval applies to an unused share too");
	}

	@Test
	public void testTurnsOfOneOrganisationDoNotAffectOthers() {
		CapacityProbes probes = new CapacityProbes();
		probes.of("a", ShareDecision.UNLIMITED).recordResult(false, 1_000);
		assertFalse(probes.of("a", ShareDecision.UNLIMITED).due(1, 1_001));
		assertTrue(probes.of("b", ShareDecision.UNLIMITED).due(1, 1_001));
	}

	private static int countProbes(CapacityProbe probe, boolean admitted) {
		int probes = 0;
		for (int millis = 0; millis < 1_000; millis++) {
			if (probe.due(1, millis)) {
				probe.recordResult(admitted, millis);
				probes++;
			}
		}
		return probes;
	}

}
