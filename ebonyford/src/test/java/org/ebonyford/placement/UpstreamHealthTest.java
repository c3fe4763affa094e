package org.ebonyford.placement;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class UpstreamHealthTest {

	@Test
	public void testUnreachableUpstreamIsLeftOutForLongerEachTime() {
		UpstreamHealth health = new UpstreamHealth();
		health.unreachable(0);
		assertFalse(health.usable(299));
		assertTrue(health.usable(300));
		health.unreachable(300);
		assertFalse(health.usable(899));
		health.heard(900);
		health.unreachable(1_000);
		assertTrue(health.usable(1_300), "an upstream that answered starts anew");
	}

	@Test
	public void testSilenceIsFoundOnceAndEndsWithTheFirstByte() {
		UpstreamHealth health = new UpstreamHealth();
		health.busy(0);
		assertFalse(health.checkSilence(1, 1_000));
		assertTrue(health.checkSilence(1, 1_300));
		assertFalse(health.checkSilence(1, 1_400));
		assertFalse(health.usable(1_400));
		health.heard(1_500);
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
			health.ended(true, 0);
		}
		assertTrue(health.failureShare(0) > 0.9);
		assertTrue(health.failureShare(20_000) < 0.1);
		assertEquals(new UpstreamHealth().failureShare(5), 0.0);
	}

}
