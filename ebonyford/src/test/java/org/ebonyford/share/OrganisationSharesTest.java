package org.ebonyford.share;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against unfair service under shortage: an organisation that is served more
 * because it sends more, more often or smaller requests, and shares that ignore failed
 * engines or count reports of peers that are gone.
 */
public class OrganisationSharesTest {

	private static final int SMALL = 1;

	private static final int LARGE = 2;

	@Test
	public void testLevelDividesTheRestAmongLargerDemands() {
		assertEquals(MaxMinLevel.of(new double[] { 10, 100, 200 }, 110), 50.0);
		assertEquals(MaxMinLevel.of(new double[] { 10, 20 }, 30.5), Double.POSITIVE_INFINITY);
		assertEquals(MaxMinLevel.of(new double[] {}, 5), Double.POSITIVE_INFINITY);
	}

	@Test
	public void testNoneHasPriorityWithoutShortage() {
		OrganisationShares shares = new OrganisationShares(4_000, () -> 0, () -> 1, 1);
		shares.recordRequested(LARGE, 1_000, 0);
		shares.recordServed(LARGE, 1_000, 0);
		assertEquals(shares.usedShare(LARGE, 10), OrganisationShares.NO_SHORTAGE);
		assertEquals(shares.usedShare(SMALL, 10), OrganisationShares.NO_SHORTAGE);
	}

	@Test
	public void testLargeOrganisationExceedsItsShareUnderShortage() {
		OrganisationShares shares = new OrganisationShares(4_000, () -> 0, () -> 1, 1);
		shares.recordRequested(LARGE, 9_000, 0);
		shares.recordServed(LARGE, 5_000, 0);
		shares.recordRequested(SMALL, 1_000, 0);
		shares.recordServed(SMALL, 300, 0);
		assertTrue(shares.usedShare(LARGE, 10) > 1, "used " + shares.usedShare(LARGE, 10));
		assertTrue(shares.usedShare(SMALL, 10) < 0.5, "used " + shares.usedShare(SMALL, 10));
	}

	@Test
	public void testStatedRateIsDividedEvenIfEnginesExceedIt() {
		OrganisationShares shares = new OrganisationShares(4_000, () -> 1_000, () -> 1, 1);
		shares.recordRequested(LARGE, 9_000, 0);
		shares.recordServed(LARGE, 9_000, 0);
		shares.recordRequested(SMALL, 1_000, 0);
		shares.recordServed(SMALL, 1_000, 0);
		assertEquals(shares.usedShare(LARGE, 10), 3.0,
				"the large one's share is 3,000: 4,000 tokens minus the 1,000 of the small one");
		assertTrue(shares.usedShare(SMALL, 10) < 0.5, "used " + shares.usedShare(SMALL, 10));
	}

	@Test
	public void testLessThanStatedIsDividedWhileEnginesAreDown() {
		OrganisationShares shares = new OrganisationShares(4_000, () -> 1_000, () -> 1, 1);
		shares.recordRequested(LARGE, 9_000, 0);
		shares.recordServed(LARGE, 1_500, 0);
		shares.recordRequested(SMALL, 1_000, 0);
		shares.recordServed(SMALL, 500, 0);
		assertEquals(shares.usedShare(LARGE, 10), 1.5);
	}

	@Test
	public void testRecentShareFollowsEngineFailure() {
		OrganisationShares shares = new OrganisationShares(4_000, () -> 1_000, () -> 1, 1);
		shares.updatePeer("peer",
				Map.of(SMALL, new Usage(4_000, 1_900, 1_000, 10), LARGE, new Usage(8_000, 1_900, 2_000, 90)), 0);
		assertTrue(shares.recentlyUsedShare(SMALL, 10) < 0.5, "used " + shares.recentlyUsedShare(SMALL, 10));
		assertTrue(shares.recentlyUsedShare(LARGE, 10) > 1, "used " + shares.recentlyUsedShare(LARGE, 10));
	}

	@Test
	public void testOrganisationServedMuchMoreThanARefusedOneIsOverserved() {
		OrganisationShares shares = new OrganisationShares(4_000, () -> 1_000, () -> 1, 1);
		shares.recordRequested(LARGE, 90_000, 0);
		shares.recordServed(LARGE, 9_000, 0);
		shares.recordRequested(SMALL, 9_000, 0);
		shares.recordServed(SMALL, 4_000, 0);
		assertTrue(shares.overserved(LARGE, 10));
		assertFalse(shares.overserved(SMALL, 10));
	}

	@Test
	public void testNoneIsOverservedWhileTheOthersAreNotRefused() {
		OrganisationShares shares = new OrganisationShares(4_000, () -> 1_000, () -> 1, 1);
		shares.recordRequested(LARGE, 90_000, 0);
		shares.recordServed(LARGE, 9_000, 0);
		shares.recordRequested(SMALL, 1_000, 0);
		shares.recordServed(SMALL, 1_000, 0);
		assertFalse(shares.overserved(LARGE, 10));
	}

	/**
	 * An engine of 16 slots has capacity for one request every ten milliseconds. One
	 * organisation sends a request every millisecond, the other one every eight.
	 */
	@Test
	public void testMoreFrequentRequestsAreNotServedMore() {
		OrganisationShares shares = new OrganisationShares(4_000, () -> 100, () -> 1, 1);
		int[] got = new int[LARGE + 1];
		Deque<Integer> running = new ArrayDeque<>();
		for (int millis = 0; millis < 14_000; millis++) {
			while (!running.isEmpty() && running.getFirst() <= millis) {
				running.removeFirst();
			}
			for (int organisation : (millis % 8 == 0) ? new int[] { SMALL, LARGE } : new int[] { LARGE }) {
				boolean admitted = shares.admit(organisation, 10, millis).admitted();
				shares.recordRequested(organisation, 10, millis);
				if (admitted && running.size() < 16) {
					running.addLast(millis + 160);
					shares.recordServed(organisation, 10, millis);
					got[organisation] += (millis >= 6_000) ? 1 : 0;
				}
			}
		}
		assertTrue(got[LARGE] < 2 * got[SMALL] && got[SMALL] < 2 * got[LARGE],
				got[SMALL] + " requests served of the small organisation, of the large one " + got[LARGE]);
		assertTrue(got[SMALL] + got[LARGE] > 640,
				"expected more than 640 of 800 possible requests to be served, got " + (got[SMALL] + got[LARGE]));
	}

	@Test
	public void testLargeRequestsAreAdmittedAsOftenAsSmallOnes() {
		OrganisationShares shares = new OrganisationShares(4_000, () -> 100_000, () -> 1, 1);
		int small = 0;
		int large = 0;
		for (int millis = 0; millis < 6_000; millis++) {
			large += admitAndServe(shares, LARGE, 5_000, millis);
			small += admitAndServe(shares, LARGE, 50, millis);
		}
		assertTrue(large > small / 2 && small > large / 2, large + " large and " + small + " small requests admitted");
	}

	@Test
	public void testRoutersDoNotAllAdmitTheirFirstRequest() {
		int first = 0;
		for (int router = 0; router < 300; router++) {
			OrganisationShares shares = new OrganisationShares(4_000, () -> 100, () -> 300, router);
			shares.updatePeer("peer", Map.of(LARGE, new Usage(4_000, 400, 1_000, 100)), 0);
			first += admitAndServe(shares, LARGE, 1, 1);
		}
		assertTrue(first > 15 && first < 60, first + " of 300 routers admit their first request, expected about 30");
	}

	/**
	 * Engines take every second admitted request of one organisation, and all of the
	 * other's.
	 */
	@Test
	public void testAdmissionThatNoEngineTakesIsNotLost() {
		OrganisationShares shares = new OrganisationShares(4_000, () -> 100, () -> 1, 1);
		shares.updatePeer("peer", Map.of(3, new Usage(400_000, 4_000, 100_000, 1_000)), 0);
		int[] got = new int[LARGE + 1];
		int[] admissions = new int[LARGE + 1];
		for (int millis = 1; millis <= 1_900; millis++) {
			for (int organisation : new int[] { SMALL, LARGE }) {
				boolean admitted = shares.admit(organisation, 10, millis).admitted();
				shares.recordRequested(organisation, 10, millis);
				if (admitted && (organisation == SMALL || admissions[organisation]++ % 2 == 0)) {
					shares.recordServed(organisation, 10, millis);
					got[organisation]++;
				}
			}
		}
		assertTrue(got[LARGE] > 0.9 * got[SMALL], got[LARGE] + " served, expected about " + got[SMALL]);
	}

	/**
	 * Engines have failed, but the level of the four-second window still covers all
	 * demand, and one organisation is served much more than the other.
	 */
	@Test
	public void testOverservedIsReducedAlthoughTheLevelCoversItsDemand() {
		OrganisationShares shares = new OrganisationShares(4_000, () -> 10_000, () -> 1, 1);
		Map<Integer, Usage> usage = Map.of(SMALL, new Usage(24_000, 18_000, 4_000, 100), LARGE,
				new Usage(24_000, 18_000, 4_000, 1_900));
		for (long now = 0; now < 1_000; now += 100) {
			shares.updatePeer("peer", usage, now);
			shares.admit(LARGE, 1, now);
		}
		assertTrue(shares.admit(LARGE, 1, 1_000).admittedFraction() < 0.8,
				"admitted fraction " + shares.admit(LARGE, 1, 1_000).admittedFraction());
		assertEquals(shares.admit(SMALL, 1, 1_000), ShareDecision.UNLIMITED);
	}

	@Test
	public void testAllRequestsAreAdmittedWhileDemandIsMet() {
		OrganisationShares shares = new OrganisationShares(4_000, () -> 1_000, () -> 1, 1);
		shares.updatePeer("peer", Map.of(LARGE, new Usage(90_000, 89_000, 20_000, 19_000)), 0);
		assertEquals(shares.admit(LARGE, 1, 1), ShareDecision.UNLIMITED);
	}

	private static int admitAndServe(OrganisationShares shares, int organisation, long tokens, long now) {
		boolean admitted = shares.admit(organisation, tokens, now).admitted();
		shares.recordRequested(organisation, tokens, now);
		if (!admitted) {
			return 0;
		}
		shares.recordServed(organisation, tokens, now);
		return 1;
	}

	@Test
	public void testPeerReportsCountAndExpire() {
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
	 * Among 95 routers each reports every 1.8 s, and one report may be lost.
	 */
	@Test
	public void testPeerReportCountsUntilTheNextOnesAreOverdue() {
		OrganisationShares few = new OrganisationShares(4_000, () -> 100, () -> 7, 1);
		OrganisationShares many = new OrganisationShares(4_000, () -> 100, () -> 95, 1);
		for (OrganisationShares shares : new OrganisationShares[] { few, many }) {
			shares.updatePeer("peer", Map.of(1, new Usage(10_000, 5_000, 0, 0)), 0);
			assertTrue(shares.usedShare(1, 0) > 1);
		}
		assertTrue(many.usedShare(1, 3_700) > 1, "the report after the next one is not overdue yet");
		assertTrue(few.usedShare(1, 3_700) <= 1, "a peer whose reports are overdue must not count");
	}

}
