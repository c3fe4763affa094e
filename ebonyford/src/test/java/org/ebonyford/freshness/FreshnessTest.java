package org.ebonyford.freshness;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class FreshnessTest {

	private long monotonic;

	private long wall;

	private Freshness freshness;

	@BeforeMethod
	public void create() {
		this.monotonic = 1_000;
		this.wall = 9_000_000;
		this.freshness = new Freshness(() -> this.monotonic, () -> this.wall);
	}

	@Test
	public void testNothingIsKnownAtFirst() {
		assertEquals(this.freshness.age(), Freshness.NEVER);
	}

	@Test
	public void testAgeCountsFromTheSendingOfTheRead() {
		Freshness.Mark mark = this.freshness.mark();
		pass(700);
		this.freshness.confirm(mark, 0);
		assertEquals(this.freshness.age(), 700);
	}

	@Test
	public void testAnswerOfARelayIsAsOldAsWhatTheRelayKnows() {
		Freshness.Mark mark = this.freshness.mark();
		pass(700);
		this.freshness.confirm(mark, 400);
		assertEquals(this.freshness.age(), 1_100);
	}

	@Test
	public void testSuspendedMachineKnowsNothing() {
		this.freshness.confirm(this.freshness.mark(), 0);
		this.wall += 4_000;
		assertEquals(this.freshness.age(), Freshness.NEVER, "the monotonic clock stood still for 4 s");
	}

	@Test
	public void testClockSetBackMakesEverythingOld() {
		this.freshness.confirm(this.freshness.mark(), 0);
		this.wall -= 2_000;
		assertTrue(this.freshness.diverged());
		assertEquals(this.freshness.age(), Freshness.NEVER);
	}

	@Test
	public void testReadSentBeforeSuspensionProvesNothing() {
		Freshness.Mark mark = this.freshness.mark();
		this.wall += 4_000;
		this.freshness.confirm(mark, 0);
		assertEquals(this.freshness.age(), Freshness.NEVER);
	}

	@Test
	public void testReadAfterDivergenceIsKnown() {
		this.wall += 4_000;
		assertTrue(this.freshness.diverged());
		this.freshness.confirm(this.freshness.mark(), 0);
		pass(100);
		assertEquals(this.freshness.age(), 100);
		assertFalse(this.freshness.diverged());
	}

	@Test
	public void testEarlierReadDoesNotMakeKnowledgeOlder() {
		Freshness.Mark earlier = this.freshness.mark();
		pass(500);
		this.freshness.confirm(this.freshness.mark(), 0);
		this.freshness.confirm(earlier, 0);
		assertEquals(this.freshness.age(), 0);
	}

	private void pass(long millis) {
		this.monotonic += millis;
		this.wall += millis;
	}

}
