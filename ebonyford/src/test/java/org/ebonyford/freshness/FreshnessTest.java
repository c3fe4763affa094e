package org.ebonyford.freshness;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Guards against a router that takes old data for recent after its VM was suspended or
 * its wall clock was set, as a suspended VM's monotonic clock stands still.
 */
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
	public void testAgeIsUnknownInitially() {
		assertEquals(this.freshness.ageMillis(), Freshness.UNKNOWN_AGE);
	}

	@Test
	public void testAgeCountsFromTheSendingOfTheRead() {
		Freshness.ReadStart start = this.freshness.startRead();
		pass(700);
		this.freshness.confirmRead(start, 0);
		assertEquals(this.freshness.ageMillis(), 700);
	}

	@Test
	public void testAgeOfARelayedAnswerIsAdded() {
		Freshness.ReadStart start = this.freshness.startRead();
		pass(700);
		this.freshness.confirmRead(start, 400);
		assertEquals(this.freshness.ageMillis(), 1_100);
	}

	@Test
	public void testAgeIsUnknownAfterSuspension() {
		this.freshness.confirmRead(this.freshness.startRead(), 0);
		this.wall += 4_000;
		assertEquals(this.freshness.ageMillis(), Freshness.UNKNOWN_AGE, "the monotonic clock stood still for 4 s");
	}

	@Test
	public void testAgeIsUnknownAfterClockIsSetBack() {
		this.freshness.confirmRead(this.freshness.startRead(), 0);
		this.wall -= 2_000;
		assertEquals(this.freshness.divergences(), 1);
		assertEquals(this.freshness.ageMillis(), Freshness.UNKNOWN_AGE);
	}

	@Test
	public void testDivergenceIsCountedThoughTheAgeWasAskedFirst() {
		this.wall += 4_000;
		assertEquals(this.freshness.ageMillis(), Freshness.UNKNOWN_AGE);
		assertEquals(this.freshness.divergences(), 1);
	}

	@Test
	public void testReadSentBeforeSuspensionIsIgnored() {
		Freshness.ReadStart start = this.freshness.startRead();
		this.wall += 4_000;
		this.freshness.confirmRead(start, 0);
		assertEquals(this.freshness.ageMillis(), Freshness.UNKNOWN_AGE);
	}

	@Test
	public void testAgeIsKnownForReadAfterDivergence() {
		this.wall += 4_000;
		assertEquals(this.freshness.divergences(), 1);
		this.freshness.confirmRead(this.freshness.startRead(), 0);
		pass(100);
		assertEquals(this.freshness.ageMillis(), 100);
		assertEquals(this.freshness.divergences(), 1);
	}

	@Test
	public void testEarlierReadDoesNotIncreaseAge() {
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
