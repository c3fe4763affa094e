package org.ebonyford.gateway.suspect;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.ebonyford.directory.UpstreamEntry;
import org.ebonyford.gateway.log.EventLog;
import org.ebonyford.identity.Fingerprint;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests which crash reports {@link SuspectCoordinator} sends to peers and stores, with a
 * simulated clock and a recording publisher. It guards against evidence that is lost over
 * a restart or an outage of the store, and against evidence of upstreams that did not
 * crash.
 */
public class SuspectCoordinatorTest {

	private static final Fingerprint REQUEST = new Fingerprint("0".repeat(CrashReport.FINGERPRINT_DIGITS));

	private static final Fingerprint OTHER = new Fingerprint("1".repeat(CrashReport.FINGERPRINT_DIGITS));

	private static final long SETTLED_MILLIS = 1_000;

	private static final long SUSPICION_MILLIS = 600_000;

	private final List<CrashReport> sentReports = new ArrayList<>();

	private final List<Optional<CrashReport>> storedReports = new ArrayList<>();

	private boolean storeDown;

	private long now;

	private SuspectCoordinator coordinator;

	@BeforeMethod
	public void start() {
		this.sentReports.clear();
		this.storedReports.clear();
		this.storeDown = false;
		this.now = 1_000;
		this.coordinator = create("self");
		this.coordinator.storeRead();
	}

	@Test
	public void testRequestIsSuspectedAfterThreeCrashes() {
		crash(REQUEST, "a");
		crash(REQUEST, "b");
		assertEquals(this.coordinator.suspectedForMillis(REQUEST, List.of()), 0);
		crash(REQUEST, "c");
		assertTrue(this.coordinator.suspectedForMillis(REQUEST, List.of()) > 0);
	}

	@Test
	public void testRequestOfThreeCrashesWaitsForEvaluation() {
		crash(REQUEST, "a");
		crash(REQUEST, "b");
		this.coordinator.recordCrash(REQUEST, upstream("c"), 1, Optional.empty());
		assertTrue(this.coordinator.awaitsEvaluation(REQUEST, List.of()));
		advance(SETTLED_MILLIS);
		assertFalse(this.coordinator.awaitsEvaluation(REQUEST, List.of()));
	}

	@Test
	public void testReportsOfManyRequestsFitDatagrams() {
		for (int number = 0; number < 1_000; number++) {
			this.coordinator.recordCrash(new Fingerprint(String.format("%032x", number)), upstream("a"), 1_000,
					Optional.empty());
		}
		assertTrue(this.sentReports.stream().allMatch((report) -> report.encode().length <= 4_096));
	}

	@Test
	public void testCompletionOfCrashedRequestIsSentToPeers() {
		crash(OTHER, "a");
		this.sentReports.clear();
		this.coordinator.recordCompletion(OTHER);
		assertEquals(this.sentReports.get(0).completed(), List.of(OTHER));
		this.coordinator.recordCompletion(REQUEST);
		assertEquals(this.sentReports.size(), 1);
	}

	@Test
	public void testUpstreamStillRunningIsSentToPeers() {
		crash(REQUEST, "a");
		this.sentReports.clear();
		this.coordinator.recordBytesReceived(upstream("a"), this.now - 1);
		assertTrue(this.sentReports.isEmpty());
		this.coordinator.recordBytesReceived(upstream("a"), 0);
		assertEquals(this.sentReports.get(0).stillRunning().size(), 1);
		assertTrue(this.coordinator.isEmpty());
	}

	@Test
	public void testCrashOfUpstreamStillRunningIsNotStored() {
		this.coordinator.recordCrash(REQUEST, upstream("a"), 1, Optional.empty());
		this.now += 550;
		this.coordinator.recordBytesReceived(upstream("a"), 0);
		advance(SETTLED_MILLIS);
		assertTrue(this.storedReports.isEmpty());
	}

	@Test
	public void testStoredEvidenceCountsAfterRestart() {
		crash(REQUEST, "a");
		crash(REQUEST, "b");
		crash(REQUEST, "c");
		this.coordinator = create("self");
		this.coordinator.restoreOwn(newestStored());
		this.coordinator.storeRead();
		advance(SETTLED_MILLIS);
		assertTrue(this.coordinator.suspectedForMillis(REQUEST, List.of()) > 0);
	}

	@Test
	public void testStoredEvidenceIsNotOverwrittenBeforeItIsRead() {
		crash(REQUEST, "a");
		crash(REQUEST, "b");
		CrashReport before = newestStored();
		this.storedReports.clear();
		this.coordinator = create("self");
		crash(REQUEST, "c");
		assertTrue(this.storedReports.isEmpty());
		this.coordinator.restoreOwn(before);
		this.coordinator.storeRead();
		advance(SETTLED_MILLIS);
		assertEquals(newestStored().crashes().size(), 3);
	}

	@Test
	public void testFailedWriteIsRetriedWhenStoreRecovers() {
		this.storeDown = true;
		crash(REQUEST, "a");
		this.storeDown = false;
		this.storedReports.clear();
		advance(SETTLED_MILLIS);
		advance(SETTLED_MILLIS);
		assertEquals(newestStored().crashes().size(), 1);
	}

	@Test
	public void testRecordIsDeletedAfterSuspicionTime() {
		crash(REQUEST, "a");
		assertTrue(this.storedReports.get(0).isPresent());
		advance(SUSPICION_MILLIS + SETTLED_MILLIS);
		assertEquals(this.storedReports.get(this.storedReports.size() - 1), Optional.empty());
		int writes = this.storedReports.size();
		advance(SUSPICION_MILLIS);
		assertEquals(this.storedReports.size(), writes);
	}

	@Test
	public void testExpiredEvidenceOfPeersIsIgnored() {
		crash(REQUEST, "a");
		crash(REQUEST, "b");
		crash(REQUEST, "c");
		CrashReport old = newestStored();
		SuspectCoordinator later = create("later");
		this.now += SUSPICION_MILLIS + 1;
		later.addStored(old);
		assertTrue(later.isEmpty());
	}

	private SuspectCoordinator create(String name) {
		EventLog log = new EventLog(name, () -> this.now, new PrintStream(new ByteArrayOutputStream()));
		return new SuspectCoordinator(() -> this.now, () -> this.now + 1_000_000, log, Runnable::run,
				new RecordingPublisher(name));
	}

	private void crash(Fingerprint request, String upstream) {
		this.coordinator.recordCrash(request, upstream(upstream), 1, Optional.empty());
		advance(SETTLED_MILLIS);
	}

	private void advance(long millis) {
		for (long endMillis = this.now + millis; this.now < endMillis; this.now += 100) {
			this.coordinator.tick();
		}
		this.coordinator.tick();
	}

	private CrashReport newestStored() {
		return this.storedReports.get(this.storedReports.size() - 1).orElseThrow();
	}

	private static UpstreamEntry upstream(String id) {
		return new UpstreamEntry(id, "service", "127.0.0.1", 80, "dc1", 4, false, 0, 1, "v1");
	}

	/**
	 * A publisher that records the reports sent and stored.
	 */
	private final class RecordingPublisher implements SuspectCoordinator.ReportPublisher {

		private final String name;

		RecordingPublisher(String name) {
			this.name = name;
		}

		@Override
		public String name() {
			return this.name;
		}

		@Override
		public void sendToPeers(CrashReport report) {
			SuspectCoordinatorTest.this.sentReports.add(report);
		}

		@Override
		public CompletableFuture<Void> saveToStore(Optional<CrashReport> report) {
			if (SuspectCoordinatorTest.this.storeDown) {
				return CompletableFuture.failedFuture(new IllegalStateException("store is down"));
			}
			SuspectCoordinatorTest.this.storedReports.add(report);
			return CompletableFuture.completedFuture(null);
		}

	}

}
