package org.ebonyford.dispatch;

import java.util.Set;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.ebonyford.identity.Incarnation;
import org.ebonyford.identity.VmId;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests {@link EndedProcesses}.
 */
public class EndedProcessesTest {

	private static final Incarnation PROCESS = new Incarnation(new VmId("a"), 1);

	private static final long HOUR = 3_600_000;

	private EndedProcesses ended;

	@BeforeMethod
	public void create() {
		this.ended = new EndedProcesses();
	}

	@Test
	public void testProcessThatIsGoneForLongEnded() {
		assertEquals(look(0, true), Set.of());
		assertEquals(look(HOUR, true), Set.of(PROCESS));
	}

	@Test
	public void testProcessThatWasGoneForAShortTimeHasNotEnded() {
		look(0, true);
		assertEquals(look(60_000, true), Set.of());
	}

	@Test
	public void testProcessThatCameBackHasNotEnded() {
		look(0, true);
		look(HOUR / 2, false);
		assertEquals(look(HOUR, true), Set.of());
	}

	@Test
	public void testLooksAreSpaced() {
		assertTrue(this.ended.due(5));
		assertFalse(this.ended.due(6));
		assertTrue(this.ended.due(HOUR));
	}

	private Set<Incarnation> look(long now, boolean gone) {
		return this.ended.look(now, Set.of(PROCESS), (process) -> gone);
	}

}
