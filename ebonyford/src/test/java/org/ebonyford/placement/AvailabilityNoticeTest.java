package org.ebonyford.placement;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class AvailabilityNoticeTest {

	@Test
	public void testNothingSaidAcceptsRequests() {
		assertTrue(AvailabilityNotice.NONE.accepts(0));
	}

	@Test
	public void testShorterWaitDoesNotReplaceALongerOne() {
		AvailabilityNotice notice = AvailabilityNotice.NONE.withWait(5_000, 1_000).withWait(100, 2_000);
		assertFalse(notice.accepts(5_999));
		assertTrue(notice.accepts(6_000));
	}

	@Test
	public void testLeavingLastsBeyondEachWait() {
		assertFalse(AvailabilityNotice.NONE.withLeaving().withWait(10, 0).accepts(Long.MAX_VALUE));
	}

	@Test
	public void testAbsurdWaitIsCutDown() {
		assertTrue(AvailabilityNotice.NONE.withWait(Long.MAX_VALUE, 0).accepts(600_000));
		assertTrue(AvailabilityNotice.NONE.withWait(-5, 7).accepts(7));
	}

	@Test
	public void testUpstreamIsLeftOutAsItSays() {
		UpstreamHealth health = new UpstreamHealth();
		health.notice(health.notice().withWait(500, 1_000));
		assertFalse(health.usable(1_499));
		assertTrue(health.usable(1_500));
		assertEquals(health.usableAt().getAsLong(), 1_500);
		health.notice(health.notice().withLeaving());
		assertFalse(health.usable(1_500));
		assertTrue(health.usableAt().isEmpty());
	}

}
