package org.ebonyford.lifecycle;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class EventLoopLagTest {

	private final EventLoopLag lag = new EventLoopLag();

	@Test
	public void testProcessIsBehindUntilItsTimerRunsInTime() {
		this.lag.recordTick(1_000);
		assertFalse(this.lag.lagging(1_000));
		this.lag.recordTick(1_060);
		assertFalse(this.lag.lagging(1_060));
		this.lag.recordTick(1_700);
		assertTrue(this.lag.lagging(1_700), "the timer ran 590 ms late");
		this.lag.recordTick(1_860);
		assertTrue(this.lag.lagging(1_860), "it is still 110 ms late");
		this.lag.recordTick(1_915);
		assertFalse(this.lag.lagging(1_915));
	}

	@Test
	public void testProcessIsBehindAsSoonAsItsTimerIsOverdue() {
		this.lag.recordTick(1_000);
		assertFalse(this.lag.lagging(1_190));
		assertTrue(this.lag.lagging(1_210), "a turn of the event loop has taken 210 ms, and no timer has run");
	}

	@Test
	public void testLongestDelayIsToldOnce() {
		this.lag.recordTick(1_000);
		this.lag.recordTick(1_300);
		this.lag.recordTick(1_360);
		assertEquals(this.lag.drainMaxLagMillis(), 250);
		assertEquals(this.lag.drainMaxLagMillis(), 0);
	}

}
