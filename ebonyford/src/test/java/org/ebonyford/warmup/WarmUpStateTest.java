package org.ebonyford.warmup;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.ebonyford.configuration.Pool;
import org.ebonyford.identity.PoolId;
import org.ebonyford.load.LoadReport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

/**
 * Tests {@link WarmUpState}.
 */
public class WarmUpStateTest {

	private static final Pool POOL = new Pool(new PoolId("pool"), Pool.Kind.ENGINE, 8, 2);

	private WarmUpState state;

	@BeforeMethod
	public void create() {
		this.state = new WarmUpState(new WarmUpPolicy.ForCompletions(4), 600, 5_000);
	}

	@Test
	public void testUnknownUpstreamGetsNoWork() {
		assertEquals(this.state.limit(0, POOL), 0);
	}

	@Test
	public void testNewIncarnationIsColdAtOnce() {
		report(1_000, 1, 100, 0);
		assertEquals(this.state.limit(1_000, POOL), 8);
		report(1_100, 2, 0, 0);
		assertEquals(this.state.limit(1_100, POOL), 2);
	}

	@Test
	public void testMissedReportsMeanColdAndThenNoWork() {
		report(1_000, 1, 100, 0);
		assertEquals(this.state.limit(1_601, POOL), 2);
		assertEquals(this.state.limit(6_001, POOL), 0);
	}

	@Test
	public void testBrokenExchangeMeansColdUntilALaterSample() {
		report(1_000, 1, 100, 0);
		this.state.assumeCold(1_050);
		report(1_100, 1, 100, 60);
		assertEquals(this.state.limit(1_100, POOL), 2);
		report(1_200, 1, 100, 60);
		assertEquals(this.state.limit(1_200, POOL), 8);
	}

	@Test
	public void testNothingIsReliedOnAfterAPauseButLaterSamples() {
		report(1_000, 1, 100, 0);
		this.state.invalidateSamples(1_050);
		assertEquals(this.state.limit(1_060, POOL), 0);
		report(1_100, 1, 100, 0);
		assertEquals(this.state.limit(1_100, POOL), 8);
	}

	@Test
	public void testEarlierSampleThatComesLateIsIgnored() {
		report(1_000, 2, 0, 0);
		assertFalse(report(1_010, 1, 100, 50));
		assertEquals(this.state.limit(1_010, POOL), 2);
	}

	private boolean report(long now, long incarnation, long completed, long age) {
		return this.state.recordReport(now, new LoadReport(incarnation, 0, completed, age, false));
	}

}
