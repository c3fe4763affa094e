package org.ebonyford.lifecycle;

import java.util.stream.LongStream;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against an overloaded hotspot that stays ready while other routers have
 * capacity, and against routers that withdraw without need, too often or all at once.
 */
public class OverloadWithdrawalTest {

	private static final OverloadWithdrawal.View HOTSPOT = new OverloadWithdrawal.View(true, 8, 14);

	private final OverloadWithdrawal withdrawal = new OverloadWithdrawal();

	@Test
	public void testOverloadedHotspotIsWithdrawnForTenSeconds() {
		assertEquals(withdrawnSeconds(new OverloadWithdrawal(), HOTSPOT, 13_500), 10.0, 0.2);
	}

	@Test
	public void testHotspotIsReadyForPartOfTheTime() {
		assertTrue(withdrawnSeconds(new OverloadWithdrawal(), HOTSPOT, 80_000) < 80 * 0.8);
	}

	@Test
	public void testRouterThatLagsLikeAllOthersStaysReady() {
		assertEquals(withdrawnSeconds(this.withdrawal, new OverloadWithdrawal.View(true, 1.5, 14), 20_000), 0.0);
	}

	@Test
	public void testRouterWithoutLocalPeersStaysReady() {
		assertEquals(withdrawnSeconds(this.withdrawal, new OverloadWithdrawal.View(true, 8, 2), 20_000), 0.0);
	}

	@Test
	public void testShortPausesDoNotWithdraw() {
		OverloadWithdrawal shortPauses = new OverloadWithdrawal();
		for (long now = 0; now < 20_000; now += 100) {
			shortPauses.update(new OverloadWithdrawal.View(now % 1_000 < 400, 8, 14), now);
			assertFalse(shortPauses.withdrawn(now));
		}
	}

	private static double withdrawnSeconds(OverloadWithdrawal withdrawal, OverloadWithdrawal.View view, long millis) {
		return LongStream.range(0, millis / 100).filter((tick) -> {
			withdrawal.update(view, tick * 100);
			return withdrawal.withdrawn(tick * 100);
		}).count() / 10.0;
	}

}
