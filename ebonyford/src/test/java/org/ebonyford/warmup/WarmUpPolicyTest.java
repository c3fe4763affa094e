package org.ebonyford.warmup;

import org.testng.annotations.Test;

import org.ebonyford.configuration.Pool;
import org.ebonyford.identity.PoolId;

import static org.quicktheories.QuickTheory.qt;
import static org.quicktheories.generators.SourceDSL.longs;
import static org.testng.Assert.assertEquals;

/**
 * Tests {@link WarmUpPolicy}.
 */
public class WarmUpPolicyTest {

	private static final Pool POOL = new Pool(new PoolId("pool"), Pool.Kind.ENGINE, 8, 2);

	@Test
	public void testFewerCompletionsNeverRaiseTheLimit() {
		WarmUpPolicy warmUp = new WarmUpPolicy.ForCompletions(4);
		qt().forAll(longs().between(0, 1_000), longs().between(0, 1_000))
			.check((completed,
					lag) -> warmUp.limit(POOL, Math.max(0, completed - lag)) <= warmUp.limit(POOL, completed));
	}

	@Test
	public void testLimitGrowsFromColdToWarm() {
		WarmUpPolicy warmUp = new WarmUpPolicy.ForCompletions(4);
		assertEquals(warmUp.limit(POOL, 3), 2);
		assertEquals(warmUp.limit(POOL, 4), 3);
		assertEquals(warmUp.limit(POOL, Long.MAX_VALUE / 2), 8);
	}

	@Test
	public void testDisabledTakesAllForWarm() {
		assertEquals(WarmUpPolicy.Disabled.INSTANCE.limit(POOL, 0), 8);
	}

}
