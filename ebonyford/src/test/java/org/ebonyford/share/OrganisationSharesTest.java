package org.ebonyford.share;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class OrganisationSharesTest {

	private static final int SMALL = 1;

	private static final int LARGE = 2;

	@Test
	public void testLevelDividesWhatIsLeftByThoseWhoAskMore() {
		assertEquals(MaxMinLevel.of(new double[] { 10, 100, 200 }, 110), 50.0);
		assertEquals(MaxMinLevel.of(new double[] { 10, 20 }, 30.5), Double.POSITIVE_INFINITY);
		assertEquals(MaxMinLevel.of(new double[] {}, 5), Double.POSITIVE_INFINITY);
	}

	@Test
	public void testNoneGoesFirstWhileThereIsEnough() {
		OrganisationShares shares = new OrganisationShares(4_000, () -> 0, () -> 1, 1);
		shares.recordRequested(LARGE, 1_000, 0);
		shares.recordServed(LARGE, 1_000, 0);
		assertEquals(shares.usedShare(LARGE, 10), OrganisationShares.NO_SHORTAGE);
		assertEquals(shares.usedShare(SMALL, 10), OrganisationShares.NO_SHORTAGE);
	}

	@Test
	public void testLargeOrganisationIsBeyondItsShareWhenSomethingIsLeftUnserved() {
		OrganisationShares shares = new OrganisationShares(4_000, () -> 0, () -> 1, 1);
		shares.recordRequested(LARGE, 9_000, 0);
		shares.recordServed(LARGE, 5_000, 0);
		shares.recordRequested(SMALL, 1_000, 0);
		shares.recordServed(SMALL, 300, 0);
		assertTrue(shares.usedShare(LARGE, 10) > 1, "used " + shares.usedShare(LARGE, 10));
		assertTrue(shares.usedShare(SMALL, 10) < 0.5, "used " + shares.usedShare(SMALL, 10));
	}

	@Test
	public void testStatedRateIsDividedEvenIfEnginesMakeMore() {
		OrganisationShares shares = new OrganisationShares(4_000, () -> 1_000, () -> 1, 1);
		shares.recordRequested(LARGE, 9_000, 0);
		shares.recordServed(LARGE, 9_000, 0);
		shares.recordRequested(SMALL, 1_000, 0);
		shares.recordServed(SMALL, 1_000, 0);
		assertEquals(shares.usedShare(LARGE, 10), 3.0,
				"4,000 tokens less the 1,000 of the small one are the large one's");
		assertTrue(shares.usedShare(SMALL, 10) < 0.5, "used " + shares.usedShare(SMALL, 10));
	}

	@Test
	public void testLessThanStatedIsDividedWhileEnginesAreOut() {
		OrganisationShares shares = new OrganisationShares(4_000, () -> 1_000, () -> 1, 1);
		shares.recordRequested(LARGE, 9_000, 0);
		shares.recordServed(LARGE, 1_500, 0);
		shares.recordRequested(SMALL, 1_000, 0);
		shares.recordServed(SMALL, 500, 0);
		assertEquals(shares.usedShare(LARGE, 10), 1.5);
	}

	@Test
	public void testShareIsTheLatestOneOnceEnginesAreOut() {
		OrganisationShares shares = new OrganisationShares(4_000, () -> 1_000, () -> 1, 1);
		shares.updatePeer("peer",
				Map.of(SMALL, new Usage(4_000, 1_900, 1_000, 10), LARGE, new Usage(8_000, 1_900, 2_000, 90)), 0);
		assertTrue(shares.recentlyUsedShare(SMALL, 10) < 0.5, "used " + shares.recentlyUsedShare(SMALL, 10));
		assertTrue(shares.recentlyUsedShare(LARGE, 10) > 1, "used " + shares.recentlyUsedShare(LARGE, 10));
	}

	@Test
	public void testWhoeverHasUsedMuchMoreThanOneWhoIsRefusedLeads() {
		OrganisationShares shares = new OrganisationShares(4_000, () -> 1_000, () -> 1, 1);
		shares.recordRequested(LARGE, 90_000, 0);
		shares.recordServed(LARGE, 9_000, 0);
		shares.recordRequested(SMALL, 9_000, 0);
		shares.recordServed(SMALL, 4_000, 0);
		assertTrue(shares.overserved(LARGE, 10));
		assertFalse(shares.overserved(SMALL, 10));
	}

	@Test
	public void testNoneLeadsWhereTheOthersGetWhatTheyAsk() {
		OrganisationShares shares = new OrganisationShares(4_000, () -> 1_000, () -> 1, 1);
		shares.recordRequested(LARGE, 90_000, 0);
		shares.recordServed(LARGE, 9_000, 0);
		shares.recordRequested(SMALL, 1_000, 0);
		shares.recordServed(SMALL, 1_000, 0);
		assertFalse(shares.overserved(LARGE, 10));
	}

	/**
	 * An engine of 16 slots bears a request in ten milliseconds, of which one
	 * organisation asks for one in each, and the other for one in eight.
	 */
	@Test
	public void testWhoeverAsksMoreOftenGetsNoMore() {
		OrganisationShares shares = new OrganisationShares(4_000, () -> 100, () -> 1, 1);
		int[] got = new int[LARGE + 1];
		Deque<Integer> running = new ArrayDeque<>();
		for (int millis = 0; millis < 14_000; millis++) {
			while (!running.isEmpty() && running.getFirst() <= millis) {
				running.removeFirst();
			}
			for (int organisation : (millis % 8 == 0) ? new int[] { SMALL, LARGE } : new int[] { LARGE }) {
				boolean passes = shares.admit(organisation, 10, millis).admitted();
				shares.recordRequested(organisation, 10, millis);
				if (passes && running.size() < 16) {
					running.addLast(millis + 160);
					shares.recordServed(organisation, 10, millis);
					got[organisation] += (millis >= 6_000) ? 1 : 0;
				}
			}
		}
		assertTrue(got[LARGE] < 2 * got[SMALL] && got[SMALL] < 2 * got[LARGE], got[SMALL] + " and " + got[LARGE]);
		assertTrue(got[SMALL] + got[LARGE] > 640, "of 800 that the engine bears " + (got[SMALL] + got[LARGE]));
	}

	@Test
	public void testLargeRequestsGetTurnsAsOftenAsSmallOnes() {
		OrganisationShares shares = new OrganisationShares(4_000, () -> 100_000, () -> 1, 1);
		int small = 0;
		int large = 0;
		for (int millis = 0; millis < 6_000; millis++) {
			large += takesTurn(shares, LARGE, 5_000, millis);
			small += takesTurn(shares, LARGE, 50, millis);
		}
		assertTrue(large > small / 2 && small > large / 2, large + " large and " + small + " small ones");
	}

	@Test
	public void testRoutersDoNotLetTheirFirstRequestThroughAlike() {
		int first = 0;
		for (int router = 0; router < 300; router++) {
			OrganisationShares shares = new OrganisationShares(4_000, () -> 100, () -> 300, router);
			shares.updatePeer("peer", Map.of(LARGE, new Usage(4_000, 400, 1_000, 100)), 0);
			first += takesTurn(shares, LARGE, 1, 1);
		}
		assertTrue(first > 15 && first < 60,
				first + " of 300 routers let their first request through, 30 cover the share");
	}

	/**
	 * Of the turns of one organisation engines take one in two, of those of the other
	 * each.
	 */
	@Test
	public void testTurnThatNoEngineTakesIsMadeUpFor() {
		OrganisationShares shares = new OrganisationShares(4_000, () -> 100, () -> 1, 1);
		shares.updatePeer("peer", Map.of(3, new Usage(400_000, 4_000, 100_000, 1_000)), 0);
		int[] got = new int[LARGE + 1];
		int[] turns = new int[LARGE + 1];
		for (int millis = 1; millis <= 1_900; millis++) {
			for (int organisation : new int[] { SMALL, LARGE }) {
				boolean passes = shares.admit(organisation, 10, millis).admitted();
				shares.recordRequested(organisation, 10, millis);
				if (passes && (organisation == SMALL || turns[organisation]++ % 2 == 0)) {
					shares.recordServed(organisation, 10, millis);
					got[organisation]++;
				}
			}
		}
		assertTrue(got[LARGE] > 0.9 * got[SMALL], got[LARGE] + " instead of " + got[SMALL]);
	}

	/**
	 * Engines have gone out, so that the level of four seconds covers all that is asked
	 * for, and one organisation gets much more than the other.
	 */
	@Test
	public void testWhoeverGotMoreIsHeldBackThoughTheLevelCoversIt() {
		OrganisationShares shares = new OrganisationShares(4_000, () -> 10_000, () -> 1, 1);
		Map<Integer, Usage> usage = Map.of(SMALL, new Usage(24_000, 18_000, 4_000, 100), LARGE,
				new Usage(24_000, 18_000, 4_000, 1_900));
		for (long now = 0; now < 1_000; now += 100) {
			shares.updatePeer("peer", usage, now);
			shares.admit(LARGE, 1, now);
		}
		assertTrue(shares.admit(LARGE, 1, 1_000).admittedFraction() < 0.8,
				"part " + shares.admit(LARGE, 1, 1_000).admittedFraction());
		assertEquals(shares.admit(SMALL, 1, 1_000), ShareDecision.UNLIMITED);
	}

	@Test
	public void testNoTurnIsNeededWhereAllIsServed() {
		OrganisationShares shares = new OrganisationShares(4_000, () -> 1_000, () -> 1, 1);
		shares.updatePeer("peer", Map.of(LARGE, new Usage(90_000, 89_000, 20_000, 19_000)), 0);
		assertEquals(shares.admit(LARGE, 1, 1), ShareDecision.UNLIMITED);
	}

	private static int takesTurn(OrganisationShares shares, int organisation, long tokens, long now) {
		boolean passes = shares.admit(organisation, tokens, now).admitted();
		shares.recordRequested(organisation, tokens, now);
		if (!passes) {
			return 0;
		}
		shares.recordServed(organisation, tokens, now);
		return 1;
	}

	@Test
	public void testPeersCountAndAreForgotten() {
		OrganisationShares shares = new OrganisationShares(4_000, () -> 0, () -> 1, 1);
		shares.updatePeer("b", Map.of(LARGE, new Usage(9_000, 5_000, 0, 0), SMALL, new Usage(1_000, 300, 0, 0)), 0);
		assertTrue(shares.usedShare(LARGE, 10) > 1);
		assertEquals(shares.usedShare(LARGE, 5_000), OrganisationShares.NO_SHORTAGE);
	}

	@Test
	public void testUsageLeavesTheWindow() {
		OrganisationShares shares = new OrganisationShares(4_000, () -> 0, () -> 1, 1);
		shares.recordRequested(LARGE, 9_000, 0);
		assertEquals(shares.ownUsage(10, 100).get(LARGE).requestedTokens(), 9_000);
		assertTrue(shares.ownUsage(10, 4_500).isEmpty());
	}

	/**
	 * Among 95 routers a report comes every 1.8 s, and one may be lost.
	 */
	@Test
	public void testUsageOfAPeerCountsUntilItsReportsAreOverdue() {
		OrganisationShares few = new OrganisationShares(4_000, () -> 100, () -> 7, 1);
		OrganisationShares many = new OrganisationShares(4_000, () -> 100, () -> 95, 1);
		for (OrganisationShares shares : new OrganisationShares[] { few, many }) {
			shares.updatePeer("peer", Map.of(1, new Usage(10_000, 5_000, 0, 0)), 0);
			assertTrue(shares.usedShare(1, 0) > 1);
		}
		assertTrue(many.usedShare(1, 3_700) > 1, "the next report but one is not overdue");
		assertTrue(few.usedShare(1, 3_700) <= 1, "a peer that fell silent counts no more");
	}

}
