package org.ebonyford.lifecycle;

import java.util.stream.LongStream;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class OverloadWithdrawalTest {

	private static final OverloadWithdrawal.View CROWDED = new OverloadWithdrawal.View(true, 8, 14);

	private final OverloadWithdrawal relief = new OverloadWithdrawal();

	@Test
	public void testCrowdThatIsReadLateIsGivenToAnotherRouterForAWhile() {
		assertEquals(awaySeconds(new OverloadWithdrawal(), CROWDED, 13_500), 10.0, 0.2);
	}

	@Test
	public void testRouterIsThereForAPartOfTheTime() {
		assertTrue(awaySeconds(new OverloadWithdrawal(), CROWDED, 80_000) < 80 * 0.8);
	}

	@Test
	public void testRouterThatIsBehindLikeAllOthersStays() {
		assertEquals(awaySeconds(this.relief, new OverloadWithdrawal.View(true, 1.5, 14), 20_000), 0.0);
	}

	@Test
	public void testRouterWithoutNeighboursStays() {
		assertEquals(awaySeconds(this.relief, new OverloadWithdrawal.View(true, 8, 2), 20_000), 0.0);
	}

	@Test
	public void testShortPausesAreNoReason() {
		OverloadWithdrawal resting = new OverloadWithdrawal();
		for (long now = 0; now < 20_000; now += 100) {
			resting.update(new OverloadWithdrawal.View(now % 1_000 < 400, 8, 14), now);
			assertFalse(resting.withdrawn(now));
		}
	}

	private static double awaySeconds(OverloadWithdrawal relief, OverloadWithdrawal.View view, long millis) {
		return LongStream.range(0, millis / 100).filter((tick) -> {
			relief.update(view, tick * 100);
			return relief.withdrawn(tick * 100);
		}).count() / 10.0;
	}

}
