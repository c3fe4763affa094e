package org.ebonyford.placement;

import org.testng.annotations.Test;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class FailoverTimeoutTest {

	@Test
	public void testEngineThatReadsALongPromptIsWaitedFor() {
		assertFalse(FailoverTimeout.streamTimedOut(1_207, 748, false, 1_207), "as seen on a heavy day of Lumitieto");
		assertTrue(FailoverTimeout.streamTimedOut(1_900, 748, false, 1_900));
	}

	@Test
	public void testQueuedStreamOfAnEngineThatAnswersOthersIsWaitedFor() {
		assertFalse(FailoverTimeout.streamTimedOut(1_900, 100, false, 20));
		assertFalse(FailoverTimeout.streamTimedOut(3_900, 1_000, false, 20));
	}

	@Test
	public void testStreamWhoseAnswerIsLostIsSentElsewhere() {
		assertTrue(FailoverTimeout.streamTimedOut(2_100, 90, false, 20),
				"an engine that answers others may lose an answer");
	}

	@Test
	public void testBegunStreamIsContinuedAfterItsSilence() {
		assertTrue(FailoverTimeout.streamTimedOut(1_250, 748, true, 20));
		assertFalse(FailoverTimeout.streamTimedOut(1_100, 748, true, 1_100));
	}

	@Test
	public void testShortRequestWaitsForAFewTimesTheExpected() {
		assertFalse(FailoverTimeout.shortRequestTimedOut(399, 20));
		assertTrue(FailoverTimeout.shortRequestTimedOut(401, 20));
		assertFalse(FailoverTimeout.shortRequestTimedOut(900, 200));
	}

}
