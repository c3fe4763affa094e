package org.ebonyford.suspect;

import java.util.List;
import java.util.Set;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.ebonyford.effect.Effect;
import org.ebonyford.effect.Outbox;
import org.ebonyford.identity.Fingerprint;
import org.ebonyford.identity.UpstreamId;
import org.ebonyford.identity.VmId;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests that {@link SuspectTracker} finds a request that crashes upstreams and suspects
 * no other. A request could be suspected wrongly because it shares upstreams with the
 * crashing one, is retried from one crash into the next, or runs while upstreams crash
 * for other reasons or only a connection breaks.
 */
public class SuspectTrackerTest {

	private static final int SEEDS = 200;

	private static final long SETTLE_MILLIS = SuspectSettings.DEFAULT.settleMillis();

	private static final SuspectSettings GATEWAY_SETTINGS = SuspectSettings.DEFAULT.withMinCrashes(3);

	private static final Fingerprint REQUEST = new Fingerprint("f");

	private static final UpstreamId FIRST = new UpstreamId("u1");

	private static final UpstreamId SECOND = new UpstreamId("u2");

	private final Outbox outbox = new Outbox();

	@Test
	public void testRequestRunningAloneIsSuspectedAfterTwoCrashes() {
		SuspectTracker tracker = new SuspectTracker(SuspectSettings.DEFAULT);
		tracker.recordCrash(0, REQUEST, FIRST, 1, 1, this.outbox);
		assertFalse(isSuspectedAfterEvaluation(tracker, 0));
		tracker.recordCrash(1, REQUEST, FIRST, 2, 1, this.outbox);
		assertTrue(isSuspectedAfterEvaluation(tracker, 1));
	}

	@Test
	public void testRequestOfMinCrashesAwaitsEvaluation() {
		SuspectTracker tracker = new SuspectTracker(SuspectSettings.DEFAULT);
		tracker.recordCrash(0, REQUEST, FIRST, 1, 1, this.outbox);
		assertFalse(tracker.awaitsEvaluation(REQUEST));
		tracker.recordCrash(1, REQUEST, FIRST, 2, 1, this.outbox);
		assertTrue(tracker.awaitsEvaluation(REQUEST));
		isSuspectedAfterEvaluation(tracker, 1);
		assertFalse(tracker.awaitsEvaluation(REQUEST));
	}

	@Test
	public void testRepeatedReportOfOneCrashCountsOnce() {
		SuspectTracker tracker = new SuspectTracker(SuspectSettings.DEFAULT);
		tracker.recordCrash(0, REQUEST, FIRST, 1, 1, this.outbox);
		tracker.recordCrash(0, REQUEST, FIRST, 1, 1, this.outbox);
		assertFalse(isSuspectedAfterEvaluation(tracker, 0));
	}

	@Test
	public void testSuspicionExpires() {
		SuspectTracker tracker = trackerWithSuspect();
		long end = SuspectSettings.DEFAULT.suspicionMillis() + SETTLE_MILLIS;
		tracker.tick(end, this.outbox);
		assertFalse(tracker.isSuspected(end, REQUEST));
		tracker.recordCrash(end, REQUEST, FIRST, 3, 1, this.outbox);
		assertFalse(isSuspectedAfterEvaluation(tracker, end));
	}

	@Test
	public void testCompletedRequestIsCleared() {
		SuspectTracker tracker = trackerWithSuspect();
		tracker.recordCompletion(SETTLE_MILLIS, REQUEST);
		assertFalse(tracker.isSuspected(SETTLE_MILLIS, REQUEST));
	}

	@Test
	public void testReportOfSameIncarnationRetractsCrash() {
		SuspectTracker tracker = new SuspectTracker(SuspectSettings.DEFAULT);
		tracker.recordCrash(0, REQUEST, FIRST, 1, 1, this.outbox);
		tracker.recordReport(2, FIRST, 1, 1);
		tracker.recordCrash(3, REQUEST, SECOND, 1, 1, this.outbox);
		assertFalse(isSuspectedAfterEvaluation(tracker, 3));
	}

	@Test
	public void testReportSampledBeforeCrashRetractsNothing() {
		SuspectTracker tracker = new SuspectTracker(SuspectSettings.DEFAULT);
		tracker.recordCrash(5, REQUEST, FIRST, 1, 1, this.outbox);
		tracker.recordReport(6, FIRST, 1, 4);
		tracker.recordCrash(7, REQUEST, SECOND, 1, 1, this.outbox);
		assertTrue(isSuspectedAfterEvaluation(tracker, 7));
	}

	@Test
	public void testCrashIsSentToAllPeers() {
		SuspectTracker tracker = new SuspectTracker(SuspectSettings.DEFAULT);
		tracker.updatePeers(Set.of(new VmId("a"), new VmId("b")));
		tracker.recordCrash(0, REQUEST, FIRST, 1, 1, this.outbox);
		List<Effect> effects = this.outbox.drain();
		assertEquals(effects.stream().filter(Effect.ToPeer.class::isInstance).count(), 2);
	}

	@DataProvider
	public Object[][] loads() {
		return new Object[][] { { 0, 0.0, 2 }, { 1, 0.0, 3 }, { 7, 0.0, 3 }, { 7, 0.5, 5 }, { 7, 1.0, 6 },
				{ 31, 0.0, 4 }, { 31, 1.0, 8 } };
	}

	@Test(dataProvider = "loads")
	public void testOnlyCrashingRequestIsSuspected(int load, double retries, int maxCrashes) {
		int worst = 0;
		long bystanders = 0;
		for (int seed = 0; seed < SEEDS; seed++) {
			CrashModel model = new CrashModel(seed, load, retries);
			worst = Math.max(worst, model.crashesUntilSuspected(50));
			bystanders += model.wronglySuspected();
		}
		assertTrue(worst <= maxCrashes, "crashes until suspected: " + worst);
		assertEquals(bystanders, 0);
	}

	@DataProvider
	public Object[][] heavyLoads() {
		return new Object[][] { { 7, 1.0, 1 }, { 31, 0.0, 1 }, { 31, 1.0, 1 }, { 63, 0.0, 1 }, { 63, 0.5, 1 },
				{ 0, 0.0, 4 }, { 7, 1.0, 4 }, { 31, 1.0, 4 }, { 63, 0.0, 4 }, { 63, 1.0, 4 } };
	}

	@Test(dataProvider = "heavyLoads")
	public void testOnlyCrashingRequestIsSuspectedUnderHeavyLoad(int load, double retries, int seconds) {
		int maxCrashes = 3 + 3 / seconds + 3;
		int worst = 0;
		long bystanders = 0;
		for (int seed = 0; seed < SEEDS; seed++) {
			CrashModel model = new CrashModel(seed, load, retries, GATEWAY_SETTINGS, true);
			worst = Math.max(worst, model.crashesUntilSuspected(50, seconds));
			bystanders += model.wronglySuspected();
		}
		assertTrue(worst <= maxCrashes, "crashes until suspected: " + worst);
		assertEquals(bystanders, 0);
	}

	@DataProvider
	public Object[][] mixedLoads() {
		return new Object[][] { { 0, 1.0, 4 }, { 7, 0.5, 4 }, { 7, 1.0, 4 }, { 31, 0.5, 4 }, { 31, 1.0, 4 },
				{ 31, 1.0, 2 }, { 63, 0.5, 4 } };
	}

	@Test(dataProvider = "mixedLoads")
	public void testCrashingRequestIsSuspectedAmongUnrelatedCrashes(int load, double retries, int seconds) {
		int maxCrashes = 3 + 3 / seconds + 3;
		for (int seed = 0; seed < SEEDS; seed++) {
			CrashModel model = new CrashModel(seed, load, retries, GATEWAY_SETTINGS, true).withUnrelatedCrashes();
			int crashes = model.crashesUntilSuspected(50, seconds);
			assertTrue(crashes <= maxCrashes, "crashes until suspected: " + crashes);
			assertTrue(retries == 1 || model.wronglySuspected() == 0,
					"a request other than the crashing one is suspected");
		}
	}

	@Test(groups = "known-red")
	public void testNoBystanderIsRefusedWhereAllAreSentAgainAtOnceWhileUpstreamsCrash() {
		long bystanders = 0;
		for (int seed = 0; seed < SEEDS; seed++) {
			CrashModel model = new CrashModel(seed, 31, 1, GATEWAY_SETTINGS, true).withUnrelatedCrashes();
			model.crashesUntilSuspected(50, 4);
			bystanders += model.wronglySuspected();
		}
		assertEquals(bystanders, 0);
	}

	@DataProvider
	public Object[][] crashingLoads() {
		return new Object[][] { { 1 }, { 3 }, { 7 }, { 31 } };
	}

	@Test(dataProvider = "crashingLoads")
	public void testUnrelatedCrashesMakeNoRequestSuspected(int load) {
		long refused = 0;
		for (int seed = 0; seed < SEEDS; seed++) {
			refused += new CrashModel(seed, load, 1, GATEWAY_SETTINGS, true).refusedDuringUnrelatedCrashes(200);
		}
		assertEquals(refused, 0);
	}

	@Test
	public void testBytesOnOlderConnectionRetractCrash() {
		SuspectTracker tracker = trackerWithSuspect();
		long later = SETTLE_MILLIS + 1_000;
		assertFalse(tracker.recordBytesReceived(later, FIRST, 1, later - 1));
		assertTrue(tracker.isSuspected(later, REQUEST));
		assertTrue(tracker.recordBytesReceived(later, FIRST, 1, -1));
		assertFalse(tracker.isSuspected(later, REQUEST));
	}

	@Test
	public void testBytesSentBeforeCrashRetractNothing() {
		SuspectTracker tracker = trackerWithSuspect();
		assertFalse(tracker.recordBytesReceived(SETTLE_MILLIS, FIRST, 1, -1));
		assertTrue(tracker.isSuspected(SETTLE_MILLIS, REQUEST));
	}

	@Test
	public void testStoredEvidenceDoesNotRestoreRetractedCrash() {
		SuspectTracker tracker = trackerWithSuspect();
		CrashEvidence stored = tracker.ownEvidence().get(0);
		assertTrue(tracker.recordBytesReceived(SETTLE_MILLIS + 1_000, stored.upstream(), stored.incarnation(), -1));
		tracker.addStored(SETTLE_MILLIS + 1_000, new VmId("other"), stored);
		assertFalse(isSuspectedAfterEvaluation(tracker, SETTLE_MILLIS + 1_000));
	}

	@Test
	public void testOwnEvidenceCountsAfterRestart() {
		SuspectTracker restarted = new SuspectTracker(SuspectSettings.DEFAULT);
		trackerWithSuspect().ownEvidence().forEach((evidence) -> restarted.restoreOwn(0, evidence));
		assertTrue(isSuspectedAfterEvaluation(restarted, 0));
		assertEquals(restarted.ownEvidence().size(), 2);
	}

	@Test
	public void testEvidenceOfSeveralRoutersIsCombined() {
		SuspectTracker tracker = new SuspectTracker(SuspectSettings.DEFAULT);
		tracker.addStored(0, new VmId("a"), new CrashEvidence(FIRST, 1, Set.of(REQUEST), 1, 0));
		assertFalse(isSuspectedAfterEvaluation(tracker, 0));
		tracker.addStored(0, new VmId("b"), new CrashEvidence(SECOND, 1, Set.of(REQUEST), 1, 0));
		assertTrue(isSuspectedAfterEvaluation(tracker, 0));
		assertTrue(tracker.ownEvidence().isEmpty());
	}

	@Test
	public void testStoredEvidenceDoesNotBlameCompletedRequest() {
		SuspectTracker tracker = trackerWithSuspect();
		List<CrashEvidence> stored = tracker.ownEvidence();
		tracker.recordCompletion(SETTLE_MILLIS, REQUEST);
		stored.forEach((evidence) -> tracker.addStored(SETTLE_MILLIS, new VmId("other"), evidence));
		assertFalse(isSuspectedAfterEvaluation(tracker, SETTLE_MILLIS));
	}

	private SuspectTracker trackerWithSuspect() {
		SuspectTracker tracker = new SuspectTracker(SuspectSettings.DEFAULT);
		tracker.recordCrash(0, REQUEST, FIRST, 1, 1, this.outbox);
		tracker.recordCrash(0, REQUEST, SECOND, 1, 1, this.outbox);
		assertTrue(isSuspectedAfterEvaluation(tracker, 0));
		return tracker;
	}

	private boolean isSuspectedAfterEvaluation(SuspectTracker tracker, long now) {
		tracker.tick(now + SETTLE_MILLIS, this.outbox);
		return tracker.isSuspected(now + SETTLE_MILLIS, REQUEST);
	}

}
