package org.ebonyford.warmup;

import org.testng.annotations.Test;

import org.ebonyford.configuration.Pool;
import org.ebonyford.identity.PoolId;

import static org.quicktheories.QuickTheory.qt;
import static org.quicktheories.generators.SourceDSL.longs;
import static org.testng.Assert.assertEquals;

/**
 * Tests {@link WarmUpPolicy}. A limit that falls as completions rise, or that is not
 * bounded by the warm limit, overloads upstreams or leaves them unused.
 */
public class WarmUpPolicyTest {

	private static final Pool POOL = new Pool(new PoolId("pool"), Pool.Kind.ENGINE, 8, 2);

	@Test
	public void testFewerCompletionsNeverRaiseTheLimit() {
		WarmUpPolicy policy = new WarmUpPolicy.ForCompletions(4);
		qt().forAll(longs().between(0, 1_000), longs().between(0, 1_000))
			.check((completed,
					lag) -> policy.limit(POOL, Math.max(0, completed - lag)) <= policy.limit(POOL, completed));
	}

	@Test
	public void testLimitGrowsFromColdToWarm() {
		WarmUpPolicy policy = new WarmUpPolicy.ForCompletions(4);
		assertEquals(policy.limit(POOL, 3), 2);
		assertEquals(policy.limit(POOL, 4), 3);
		assertEquals(policy.limit(POOL, Long.MAX_VALUE / 2), 8);
	}

	@Test
	public void testDisabledTreatsAllUpstreamsAsWarm() {
		assertEquals(WarmUpPolicy.Disabled.INSTANCE.limit(POOL, 0), 8);
	}

}
