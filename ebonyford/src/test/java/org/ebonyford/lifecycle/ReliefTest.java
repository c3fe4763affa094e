package org.ebonyford.lifecycle;

import java.util.stream.LongStream;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class ReliefTest {

	private static final Relief.View CROWDED = new Relief.View(true, 8, 14);

	private final Relief relief = new Relief();

	@Test
	public void testCrowdThatIsReadLateIsGivenToAnotherRouterForAWhile() {
		assertEquals(awaySeconds(new Relief(), CROWDED, 13_500), 10.0, 0.2);
	}

	@Test
	public void testRouterIsThereForAPartOfTheTime() {
		assertTrue(awaySeconds(new Relief(), CROWDED, 80_000) < 80 * 0.8);
	}

	@Test
	public void testRouterThatIsBehindLikeAllOthersStays() {
		assertEquals(awaySeconds(this.relief, new Relief.View(true, 1.5, 14), 20_000), 0.0);
	}

	@Test
	public void testRouterWithoutNeighboursStays() {
		assertEquals(awaySeconds(this.relief, new Relief.View(true, 8, 2), 20_000), 0.0);
	}

	@Test
	public void testShortPausesAreNoReason() {
		Relief resting = new Relief();
		for (long now = 0; now < 20_000; now += 100) {
			resting.read(new Relief.View(now % 1_000 < 400, 8, 14), now);
			assertFalse(resting.away(now));
		}
	}

	private static double awaySeconds(Relief relief, Relief.View view, long millis) {
		return LongStream.range(0, millis / 100).filter((tick) -> {
			relief.read(view, tick * 100);
			return relief.away(tick * 100);
		}).count() / 10.0;
	}

}
