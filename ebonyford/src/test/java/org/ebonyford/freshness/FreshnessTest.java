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
		assertEquals(this.freshness.ageMillis(), Freshness.UNKNOWN_AGE);
	}

	@Test
	public void testAgeCountsFromTheSendingOfTheRead() {
		Freshness.ReadStart mark = this.freshness.startRead();
		pass(700);
		this.freshness.confirmRead(mark, 0);
		assertEquals(this.freshness.ageMillis(), 700);
	}

	@Test
	public void testAnswerOfARelayIsAsOldAsWhatTheRelayKnows() {
		Freshness.ReadStart mark = this.freshness.startRead();
		pass(700);
		this.freshness.confirmRead(mark, 400);
		assertEquals(this.freshness.ageMillis(), 1_100);
	}

	@Test
	public void testSuspendedMachineKnowsNothing() {
		this.freshness.confirmRead(this.freshness.startRead(), 0);
		this.wall += 4_000;
		assertEquals(this.freshness.ageMillis(), Freshness.UNKNOWN_AGE, "the monotonic clock stood still for 4 s");
	}

	@Test
	public void testClockSetBackMakesEverythingOld() {
		this.freshness.confirmRead(this.freshness.startRead(), 0);
		this.wall -= 2_000;
		assertTrue(this.freshness.checkDivergence());
		assertEquals(this.freshness.ageMillis(), Freshness.UNKNOWN_AGE);
	}

	@Test
	public void testReadSentBeforeSuspensionProvesNothing() {
		Freshness.ReadStart mark = this.freshness.startRead();
		this.wall += 4_000;
		this.freshness.confirmRead(mark, 0);
		assertEquals(this.freshness.ageMillis(), Freshness.UNKNOWN_AGE);
	}

	@Test
	public void testReadAfterDivergenceIsKnown() {
		this.wall += 4_000;
		assertTrue(this.freshness.checkDivergence());
		this.freshness.confirmRead(this.freshness.startRead(), 0);
		pass(100);
		assertEquals(this.freshness.ageMillis(), 100);
		assertFalse(this.freshness.checkDivergence());
	}

	@Test
	public void testEarlierReadDoesNotMakeKnowledgeOlder() {
		Freshness.ReadStart earlier = this.freshness.startRead();
		pass(500);
		this.freshness.confirmRead(this.freshness.startRead(), 0);
		this.freshness.confirmRead(earlier, 0);
		assertEquals(this.freshness.ageMillis(), 0);
	}

	private void pass(long millis) {
		this.monotonic += millis;
		this.wall += millis;
	}

}
