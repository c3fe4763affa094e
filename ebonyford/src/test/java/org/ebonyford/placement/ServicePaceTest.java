package org.ebonyford.placement;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests what routers believe of how fast upstreams work.
 */
public class ServicePaceTest {

	private static final double DELTA = 0.001;

	/**
	 * Two other routers, of 60 ms to the first byte and 10 us a token.
	 */
	private static final PaceTotals OTHERS = new PaceTotals(120_000, 2, 20_000, 2);

	@Test
	public void testLateRouterTakesNoUpstreamForSlow() {
		ServicePace late = new ServicePace();
		late.recordOthers(OTHERS, 500, 0);
		for (int index = 0; index < 100; index++) {
			late.recordFirstByte(10_000, 900, false, 10 * index);
			late.recordFirstByte(100, 700, false, 10 * index);
		}
		assertEquals(late.prefillMillis(1_000), 10.0, DELTA);
		assertEquals(late.firstByteMillis(1_000), 70.0, DELTA);
		assertEquals(late.own(1_000), PaceTotals.NONE);
	}

	@Test
	public void testRouterInTimeCountsLikeEachOther() {
		ServicePace pace = new ServicePace();
		for (int index = 0; index < 1_000; index++) {
			pace.recordFirstByte(100, 90, true, 0);
		}
		assertEquals(pace.own(0), new PaceTotals(90_000, 1, 0, 0));
		pace.recordOthers(OTHERS, 500, 0);
		assertEquals(pace.firstByteMillis(0), 70.0, DELTA);
	}

	@Test
	public void testOneRouterIsNotBelieved() {
		ServicePace pace = new ServicePace();
		double before = pace.firstByteMillis(1_000);
		pace.recordOthers(new PaceTotals(900_000, 1, 90_000, 1), 500, 0);
		assertEquals(pace.firstByteMillis(1_000), before, DELTA);
	}

	@Test
	public void testReportsCountUnlessTotalsDo() {
		ServicePace pace = new ServicePace();
		pace.recordPeer("a", new PaceTotals(50_000, 1, 10_000, 1), 500, 0);
		pace.recordPeer("b", new PaceTotals(90_000, 1, 30_000, 1), 500, 0);
		assertEquals(pace.firstByteMillis(1_000), 90.0, DELTA);
		pace.recordOthers(OTHERS, 500, 0);
		pace.recordPeer("c", new PaceTotals(900_000, 1, 90_000, 1), 500, 0);
		assertEquals(pace.firstByteMillis(1_000), 70.0, DELTA);
	}

	@Test
	public void testOwnMeasurementsCountWhereOthersAreSilent() {
		ServicePace pace = new ServicePace();
		pace.recordOthers(OTHERS, 500, 0);
		for (int index = 0; index < 200; index++) {
			pace.recordFirstByte(100, 20, true, 501);
		}
		assertTrue(pace.firstByteMillis(0) < 25, pace.firstByteMillis(0) + " ms");
	}

}
