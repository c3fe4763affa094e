package org.ebonyford.fairness;

import org.testng.annotations.Test;

import static org.quicktheories.QuickTheory.qt;
import static org.quicktheories.generators.SourceDSL.longs;
import static org.testng.Assert.assertEquals;

/**
 * Tests {@link CostEstimate}.
 */
public class CostEstimateTest {

	@Test
	public void testRatioLearnsHintsThatAreWrongByAFactor() {
		qt().forAll(longs().between(10, 1_000), longs().between(1, 10)).check((hint, factor) -> {
			CostEstimate estimate = new CostEstimate.OfRatio();
			for (int request = 0; request < 50; request++) {
				estimate.learn(hint, hint * factor);
			}
			return Math.abs(estimate.estimate(hint) - hint * factor) <= hint * factor / 50 + 1;
		});
	}

	@Test
	public void testEstimateIsNeverLessThanOne() {
		CostEstimate estimate = new CostEstimate.OfRatio();
		for (int request = 0; request < 100; request++) {
			estimate.learn(100, 0);
		}
		assertEquals(estimate.estimate(1), 1);
	}

	@Test
	public void testHintIsTakenAsItIs() {
		CostEstimate.OfHint.INSTANCE.learn(10, 40);
		assertEquals(CostEstimate.OfHint.INSTANCE.estimate(10), 10);
	}

}
