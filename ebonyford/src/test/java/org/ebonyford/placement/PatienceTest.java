package org.ebonyford.placement;

import org.testng.annotations.Test;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class PatienceTest {

	@Test
	public void testEngineThatReadsALongPromptIsWaitedFor() {
		assertFalse(Patience.endsForStream(1_207, 748, false, 1_207), "as seen on a heavy day of Lumitieto");
		assertTrue(Patience.endsForStream(1_900, 748, false, 1_900));
	}

	@Test
	public void testQueuedStreamOfAnEngineThatAnswersOthersIsWaitedFor() {
		assertFalse(Patience.endsForStream(1_900, 100, false, 20));
		assertFalse(Patience.endsForStream(3_900, 1_000, false, 20));
	}

	@Test
	public void testStreamWhoseAnswerIsLostIsSentElsewhere() {
		assertTrue(Patience.endsForStream(2_100, 90, false, 20), "an engine that answers others may lose an answer");
	}

	@Test
	public void testBegunStreamIsContinuedAfterItsSilence() {
		assertTrue(Patience.endsForStream(1_250, 748, true, 20));
		assertFalse(Patience.endsForStream(1_100, 748, true, 1_100));
	}

	@Test
	public void testShortRequestWaitsForAFewTimesTheExpected() {
		assertFalse(Patience.endsFor(399, 20));
		assertTrue(Patience.endsFor(401, 20));
		assertFalse(Patience.endsFor(900, 200));
	}

}
