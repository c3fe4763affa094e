package org.ebonyford.lifecycle;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class BacklogTest {

	private final Backlog backlog = new Backlog();

	@Test
	public void testProcessIsBehindUntilItsTimerRunsInTime() {
		this.backlog.read(1_000);
		assertFalse(this.backlog.behind(1_000));
		this.backlog.read(1_060);
		assertFalse(this.backlog.behind(1_060));
		this.backlog.read(1_700);
		assertTrue(this.backlog.behind(1_700), "the timer ran 590 ms late");
		this.backlog.read(1_860);
		assertTrue(this.backlog.behind(1_860), "it is still 110 ms late");
		this.backlog.read(1_915);
		assertFalse(this.backlog.behind(1_915));
	}

	@Test
	public void testProcessIsBehindAsSoonAsItsTimerIsOverdue() {
		this.backlog.read(1_000);
		assertFalse(this.backlog.behind(1_190));
		assertTrue(this.backlog.behind(1_210), "a turn of the event loop has taken 210 ms, and no timer has run");
	}

	@Test
	public void testLongestDelayIsToldOnce() {
		this.backlog.read(1_000);
		this.backlog.read(1_300);
		this.backlog.read(1_360);
		assertEquals(this.backlog.drainLongestDelay(), 250);
		assertEquals(this.backlog.drainLongestDelay(), 0);
	}

}
