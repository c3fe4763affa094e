package org.ebonyford.time;

import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/**
 * Tests {@link Clock}.
 */
public class ClockTest {

	@Test
	public void testSystemClockNeverDecreases() {
		long first = Clock.ForSystem.INSTANCE.millis();
		assertTrue(Clock.ForSystem.INSTANCE.millis() >= first);
	}

}
