package org.ebonyford.placement;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class UpstreamHealthTest {

	@Test
	public void testUnreachableUpstreamIsLeftOutForLongerEachTime() {
		UpstreamHealth health = new UpstreamHealth();
		health.recordUnreachable(0);
		assertFalse(health.usable(299));
		assertTrue(health.usable(300));
		health.recordUnreachable(300);
		assertFalse(health.usable(899));
		health.recordReceived(900);
		health.recordUnreachable(1_000);
		assertTrue(health.usable(1_300), "an upstream that answered starts anew");
	}

	@Test
	public void testSilenceIsFoundOnceAndEndsWithTheFirstByte() {
		UpstreamHealth health = new UpstreamHealth();
		health.recordBusy(0);
		assertFalse(health.checkSilence(1, 1_000));
		assertTrue(health.checkSilence(1, 1_300));
		assertFalse(health.checkSilence(1, 1_400));
		assertFalse(health.usable(1_400));
		health.recordReceived(1_500);
		assertTrue(health.usable(1_500));
	}

	@Test
	public void testIdleUpstreamIsNotSilent() {
		UpstreamHealth health = new UpstreamHealth();
		assertFalse(health.checkSilence(0, 100_000));
	}

	@Test
	public void testFailuresAreForgottenWithTime() {
		UpstreamHealth health = new UpstreamHealth();
		for (int index = 0; index < 50; index++) {
			health.recordEnded(true, 0);
		}
		assertTrue(health.failureRate(0) > 0.9);
		assertTrue(health.failureRate(20_000) < 0.1);
		assertEquals(new UpstreamHealth().failureRate(5), 0.0);
	}

}
