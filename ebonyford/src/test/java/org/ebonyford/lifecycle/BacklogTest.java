package org.ebonyford.lifecycle;

import org.testng.annotations.Test;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class BacklogTest {

	private final Backlog backlog = new Backlog();

	@Test
	public void testProcessIsBehindUntilItsTimerRunsInTime() {
		this.backlog.read(1_000);
		assertFalse(this.backlog.behind());
		this.backlog.read(1_060);
		assertFalse(this.backlog.behind());
		this.backlog.read(1_700);
		assertTrue(this.backlog.behind(), "the timer ran 590 ms late");
		this.backlog.read(1_860);
		assertTrue(this.backlog.behind(), "it is still 110 ms late");
		this.backlog.read(1_915);
		assertFalse(this.backlog.behind());
	}

}
