package org.ebonyford.lifecycle;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against a process that keeps reading requests late, after their callers have
 * left: it must report the lag as soon as its timer is overdue, and until the timer is in
 * time again.
 */
public class EventLoopLagTest {

	private final EventLoopLag eventLoopLag = new EventLoopLag();

	@Test
	public void testProcessLagsUntilItsTimerRunsInTime() {
		this.eventLoopLag.recordTick(1_000);
		assertFalse(this.eventLoopLag.lagging(1_000));
		this.eventLoopLag.recordTick(1_060);
		assertFalse(this.eventLoopLag.lagging(1_060));
		this.eventLoopLag.recordTick(1_700);
		assertTrue(this.eventLoopLag.lagging(1_700), "the timer ran 590 ms late");
		this.eventLoopLag.recordTick(1_860);
		assertTrue(this.eventLoopLag.lagging(1_860), "the timer ran 110 ms late, above the recovery bound");
		this.eventLoopLag.recordTick(1_915);
		assertFalse(this.eventLoopLag.lagging(1_915));
	}

	@Test
	public void testProcessLagsAsSoonAsItsTimerIsOverdue() {
		this.eventLoopLag.recordTick(1_000);
		assertFalse(this.eventLoopLag.lagging(1_190));
		assertTrue(this.eventLoopLag.lagging(1_210),
				"an event loop iteration has taken 210 ms without running the timer");
	}

	@Test
	public void testMaxLagIsReportedOnce() {
		this.eventLoopLag.recordTick(1_000);
		this.eventLoopLag.recordTick(1_300);
		this.eventLoopLag.recordTick(1_360);
		assertEquals(this.eventLoopLag.drainMaxLagMillis(), 250);
		assertEquals(this.eventLoopLag.drainMaxLagMillis(), 0);
	}

}
