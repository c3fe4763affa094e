package org.ebonyford.placement;

import org.testng.annotations.Test;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests {@link FailoverTimeout}. A timeout that is too short takes an engine in a long
 * prefill, or one that queues a stream, for a hung one and repeats the work elsewhere;
 * one that is too long outlasts the caller.
 */
public class FailoverTimeoutTest {

	@Test
	public void testLongPrefillDoesNotTimeOut() {
		assertFalse(FailoverTimeout.streamTimedOut(1_207, 748, false, 1_207),
				"1,207 ms without an event occurred on a heavy day of Lumitieto");
		assertTrue(FailoverTimeout.streamTimedOut(1_900, 748, false, 1_900));
	}

	@Test
	public void testQueuedStreamOfAnAnsweringEngineGetsALongerTimeout() {
		assertFalse(FailoverTimeout.streamTimedOut(1_900, 100, false, 20));
		assertFalse(FailoverTimeout.streamTimedOut(3_900, 1_000, false, 20));
	}

	@Test
	public void testStreamWhoseAnswerIsLostTimesOut() {
		assertTrue(FailoverTimeout.streamTimedOut(2_100, 90, false, 20),
				"an engine that answers other requests may lose an answer");
	}

	@Test
	public void testStartedStreamTimesOutBetweenEvents() {
		assertTrue(FailoverTimeout.streamTimedOut(1_250, 748, true, 20));
		assertFalse(FailoverTimeout.streamTimedOut(1_100, 748, true, 1_100));
	}

	@Test
	public void testShortRequestTimesOutAtAMultipleOfTheExpectedTime() {
		assertFalse(FailoverTimeout.shortRequestTimedOut(399, 20));
		assertTrue(FailoverTimeout.shortRequestTimedOut(401, 20));
		assertFalse(FailoverTimeout.shortRequestTimedOut(900, 200));
	}

}
