package org.ebonyford.share;

import java.util.Map;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against organisations that are served unequally because their admitted requests
 * succeed less often at some routers, and against a correction that oscillates, grows
 * without bound or leaves engines idle.
 */
public class ShareCorrectionTest {

	private static final int UNDERSERVED = 1;

	private static final int OVERSERVED = 2;

	private static final double LEVEL = 65;

	@Test
	public void testUnderservedIsAdmittedMoreAndOverservedLess() {
		ShareCorrection correction = corrected(2_000);
		assertTrue(correction.factor(UNDERSERVED, 0) > 2, "factor " + correction.factor(UNDERSERVED, 0));
		assertTrue(correction.factor(OVERSERVED, 0) < 0.7, "factor " + correction.factor(OVERSERVED, 0));
	}

	@Test
	public void testNoneIsReducedWhileEnginesAreIdle() {
		ShareCorrection correction = corrected(2_000);
		assertEquals(correction.factor(OVERSERVED, 1), 1.0);
		assertTrue(correction.factor(UNDERSERVED, 1) > 2, "factor " + correction.factor(UNDERSERVED, 1));
	}

	/**
	 * With old totals, the effect of a factor is seen so late that the gain for fresh
	 * totals would oscillate.
	 */
	@Test
	public void testOldTotalsCorrectMoreSlowly() {
		ShareCorrection young = new ShareCorrection();
		ShareCorrection old = new ShareCorrection();
		for (long now = 0; now <= 1_000; now += 100) {
			young.update(Map.of(UNDERSERVED, recent(1_000, 30)), LEVEL, 500, now);
			old.update(Map.of(UNDERSERVED, recent(1_000, 30)), LEVEL, 3_500, now);
		}
		assertTrue(Math.log(old.factor(UNDERSERVED, 0)) < Math.log(young.factor(UNDERSERVED, 0)) / 3,
				old.factor(UNDERSERVED, 0) + " and " + young.factor(UNDERSERVED, 0));
		assertTrue(old.factor(UNDERSERVED, 0) > 1, "factor " + old.factor(UNDERSERVED, 0));
	}

	/**
	 * One organisation alone uses the surplus, and its requests come in bursts.
	 */
	@Test
	public void testNoneIsReducedIfNoOtherIsLimited() {
		ShareCorrection correction = new ShareCorrection();
		for (int step = 0; step < 100; step++) {
			long got = (step % 10 < 7) ? 100 : 10;
			correction.update(Map.of(OVERSERVED, recent(1_000, got)), 61, 0, step * 100L);
			assertTrue(correction.factor(OVERSERVED, 0) >= 1, "factor " + correction.factor(OVERSERVED, 0));
		}
	}

	@Test
	public void testFactorsAreBounded() {
		ShareCorrection correction = corrected(60_000);
		assertEquals(correction.factor(UNDERSERVED, 0), 8.0);
		assertEquals(correction.factor(OVERSERVED, 0), 0.25);
	}

	@Test
	public void testFactorsReturnToOneOnceDemandIsMet() {
		ShareCorrection correction = corrected(2_000);
		Map<Integer, Usage> served = Map.of(UNDERSERVED, recent(100, 100), OVERSERVED, recent(100, 100));
		for (long now = 2_000; now < 10_000; now += 100) {
			correction.update(served, Double.POSITIVE_INFINITY, 0, now);
		}
		assertEquals(correction.factor(UNDERSERVED, 0), 1, 0.01);
		assertEquals(correction.factor(OVERSERVED, 0), 1, 0.01);
	}

	/**
	 * Engines take a fifth of one organisation's admitted requests and all of the
	 * other's, and totals are half a second old.
	 */
	@Test
	public void testOrganisationsAreServedEquallyDespiteDifferentSuccessRates() {
		ShareCorrection correction = new ShareCorrection();
		double[][] got = new double[200][2];
		for (int step = 0; step < got.length; step++) {
			double[] seen = got[Math.max(step - 5, 0)];
			correction.update(
					Map.of(UNDERSERVED, recent(1_000, (long) seen[0]), OVERSERVED, recent(1_000, (long) seen[1])),
					(seen[0] + seen[1]) / 2, 500, step * 100L);
			got[step][0] = 100 * correction.factor(UNDERSERVED, 0) / 5;
			got[step][1] = 100 * correction.factor(OVERSERVED, 0);
		}
		for (int step = 30; step < got.length; step++) {
			assertTrue(got[step][0] > got[step][1] / 2 && got[step][1] > got[step][0] / 2,
					"served after " + step * 100 + " ms: " + got[step][0] + " and " + got[step][1]);
		}
	}

	private static ShareCorrection corrected(long millis) {
		ShareCorrection correction = new ShareCorrection();
		for (long now = 0; now <= millis; now += 100) {
			correction.update(Map.of(UNDERSERVED, recent(1_000, 30), OVERSERVED, recent(1_000, 100)), LEVEL, 0, now);
		}
		return correction;
	}

	private static Usage recent(long asked, long served) {
		return new Usage(4 * asked, 4 * served, asked, served);
	}

}
