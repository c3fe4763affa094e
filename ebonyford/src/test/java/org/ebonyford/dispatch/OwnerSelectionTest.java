package org.ebonyford.dispatch;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.testng.annotations.Test;

import org.ebonyford.identity.VmId;

import static org.testng.Assert.assertEquals;

/**
 * Tests {@link OwnerSelection}.
 */
public class OwnerSelectionTest {

	private static final List<VmId> NEAR = List.of(new VmId("n0"), new VmId("n1"), new VmId("n2"));

	private static final List<VmId> FAR = List.of(new VmId("f0"), new VmId("f1"));

	@Test
	public void testAllTakesNearOnesFirst() {
		assertEquals(OwnerSelection.OfAll.INSTANCE.select(NEAR, FAR, 0).subList(0, 3), NEAR);
	}

	@Test
	public void testSampleIsBoundedAndReachesAllInTurn() {
		Set<VmId> reached = new HashSet<>();
		for (int turn = 0; turn < 3; turn++) {
			List<VmId> sample = new OwnerSelection.OfSample(2).select(NEAR, FAR, turn);
			assertEquals(sample.size(), 2);
			reached.addAll(sample);
		}
		assertEquals(reached.size(), 5);
	}

	@Test
	public void testSampleOfAFewTakesAll() {
		assertEquals(new HashSet<>(new OwnerSelection.OfSample(10).select(NEAR, FAR, 1)).size(), 5);
	}

}
