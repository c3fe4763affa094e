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
 * Tests {@link SuspectTracker}.
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
		SuspectTracker suspects = new SuspectTracker(SuspectSettings.DEFAULT);
		suspects.recordCrash(0, REQUEST, FIRST, 1, 1, this.outbox);
		assertFalse(isSuspectedAfterEvaluation(suspects, 0));
		suspects.recordCrash(1, REQUEST, FIRST, 2, 1, this.outbox);
		assertTrue(isSuspectedAfterEvaluation(suspects, 1));
	}

	@Test
	public void testRequestOfMinCrashesAwaitsEvaluation() {
		SuspectTracker suspects = new SuspectTracker(SuspectSettings.DEFAULT);
		suspects.recordCrash(0, REQUEST, FIRST, 1, 1, this.outbox);
		assertFalse(suspects.awaitsEvaluation(REQUEST));
		suspects.recordCrash(1, REQUEST, FIRST, 2, 1, this.outbox);
		assertTrue(suspects.awaitsEvaluation(REQUEST));
		isSuspectedAfterEvaluation(suspects, 1);
		assertFalse(suspects.awaitsEvaluation(REQUEST));
	}

	@Test
	public void testRepeatedReportOfOneCrashCountsOnce() {
		SuspectTracker suspects = new SuspectTracker(SuspectSettings.DEFAULT);
		suspects.recordCrash(0, REQUEST, FIRST, 1, 1, this.outbox);
		suspects.recordCrash(0, REQUEST, FIRST, 1, 1, this.outbox);
		assertFalse(isSuspectedAfterEvaluation(suspects, 0));
	}

	@Test
	public void testSuspicionExpires() {
		SuspectTracker suspects = trackerWithSuspect();
		long end = SuspectSettings.DEFAULT.suspicionMillis() + SETTLE_MILLIS;
		suspects.tick(end, this.outbox);
		assertFalse(suspects.isSuspected(end, REQUEST));
		suspects.recordCrash(end, REQUEST, FIRST, 3, 1, this.outbox);
		assertFalse(isSuspectedAfterEvaluation(suspects, end));
	}

	@Test
	public void testCompletedRequestIsCleared() {
		SuspectTracker suspects = trackerWithSuspect();
		suspects.recordCompletion(SETTLE_MILLIS, REQUEST);
		assertFalse(suspects.isSuspected(SETTLE_MILLIS, REQUEST));
	}

	@Test
	public void testReportOfSameIncarnationRetractsCrash() {
		SuspectTracker suspects = new SuspectTracker(SuspectSettings.DEFAULT);
		suspects.recordCrash(0, REQUEST, FIRST, 1, 1, this.outbox);
		suspects.recordReport(2, FIRST, 1, 1);
		suspects.recordCrash(3, REQUEST, SECOND, 1, 1, this.outbox);
		assertFalse(isSuspectedAfterEvaluation(suspects, 3));
	}

	@Test
	public void testReportSampledBeforeCrashRetractsNothing() {
		SuspectTracker suspects = new SuspectTracker(SuspectSettings.DEFAULT);
		suspects.recordCrash(5, REQUEST, FIRST, 1, 1, this.outbox);
		suspects.recordReport(6, FIRST, 1, 4);
		suspects.recordCrash(7, REQUEST, SECOND, 1, 1, this.outbox);
		assertTrue(isSuspectedAfterEvaluation(suspects, 7));
	}

	@Test
	public void testCrashIsSentToAllPeers() {
		SuspectTracker suspects = new SuspectTracker(SuspectSettings.DEFAULT);
		suspects.updatePeers(Set.of(new VmId("a"), new VmId("b")));
		suspects.recordCrash(0, REQUEST, FIRST, 1, 1, this.outbox);
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
		assertTrue(worst <= maxCrashes, "crashes " + worst);
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
		assertTrue(worst <= maxCrashes, "crashes " + worst);
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
			assertTrue(crashes <= maxCrashes, "crashes " + crashes);
			assertTrue(retries == 1 || model.wronglySuspected() == 0, "a bystander is refused");
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
		SuspectTracker suspects = trackerWithSuspect();
		long later = SETTLE_MILLIS + 1_000;
		assertFalse(suspects.recordBytesReceived(later, FIRST, 1, later - 1));
		assertTrue(suspects.isSuspected(later, REQUEST));
		assertTrue(suspects.recordBytesReceived(later, FIRST, 1, -1));
		assertFalse(suspects.isSuspected(later, REQUEST));
	}

	@Test
	public void testBytesSentBeforeCrashRetractNothing() {
		SuspectTracker suspects = trackerWithSuspect();
		assertFalse(suspects.recordBytesReceived(SETTLE_MILLIS, FIRST, 1, -1));
		assertTrue(suspects.isSuspected(SETTLE_MILLIS, REQUEST));
	}

	@Test
	public void testStoredEvidenceDoesNotRestoreRetractedCrash() {
		SuspectTracker suspects = trackerWithSuspect();
		CrashEvidence stored = suspects.ownEvidence().get(0);
		assertTrue(suspects.recordBytesReceived(SETTLE_MILLIS + 1_000, stored.upstream(), stored.incarnation(), -1));
		suspects.addStored(SETTLE_MILLIS + 1_000, new VmId("other"), stored);
		assertFalse(isSuspectedAfterEvaluation(suspects, SETTLE_MILLIS + 1_000));
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
		SuspectTracker suspects = new SuspectTracker(SuspectSettings.DEFAULT);
		suspects.addStored(0, new VmId("a"), new CrashEvidence(FIRST, 1, Set.of(REQUEST), 1, 0));
		assertFalse(isSuspectedAfterEvaluation(suspects, 0));
		suspects.addStored(0, new VmId("b"), new CrashEvidence(SECOND, 1, Set.of(REQUEST), 1, 0));
		assertTrue(isSuspectedAfterEvaluation(suspects, 0));
		assertTrue(suspects.ownEvidence().isEmpty());
	}

	@Test
	public void testStoredEvidenceDoesNotBlameCompletedRequest() {
		SuspectTracker suspects = trackerWithSuspect();
		List<CrashEvidence> stored = suspects.ownEvidence();
		suspects.recordCompletion(SETTLE_MILLIS, REQUEST);
		stored.forEach((evidence) -> suspects.addStored(SETTLE_MILLIS, new VmId("other"), evidence));
		assertFalse(isSuspectedAfterEvaluation(suspects, SETTLE_MILLIS));
	}

	private SuspectTracker trackerWithSuspect() {
		SuspectTracker suspects = new SuspectTracker(SuspectSettings.DEFAULT);
		suspects.recordCrash(0, REQUEST, FIRST, 1, 1, this.outbox);
		suspects.recordCrash(0, REQUEST, SECOND, 1, 1, this.outbox);
		assertTrue(isSuspectedAfterEvaluation(suspects, 0));
		return suspects;
	}

	private boolean isSuspectedAfterEvaluation(SuspectTracker suspects, long now) {
		suspects.tick(now + SETTLE_MILLIS, this.outbox);
		return suspects.isSuspected(now + SETTLE_MILLIS, REQUEST);
	}

}
