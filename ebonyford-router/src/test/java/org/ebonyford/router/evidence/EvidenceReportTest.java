package org.ebonyford.router.evidence;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.ebonyford.claim.ClaimKey;
import org.ebonyford.control.ControlState;
import org.ebonyford.effect.Effect;
import org.ebonyford.effect.Outbox;
import org.ebonyford.evidence.Evidence;
import org.ebonyford.identity.DataCentreId;
import org.ebonyford.identity.IdempotencyKey;
import org.ebonyford.identity.Incarnation;
import org.ebonyford.identity.OrganisationId;
import org.ebonyford.identity.RequestId;
import org.ebonyford.identity.VmId;
import org.ebonyford.request.Outcome;
import org.ebonyford.request.RefusalReason;
import org.ebonyford.router.caller.CallerServer;
import org.ebonyford.router.evidence.Promise.Kind;
import org.ebonyford.router.evidence.Promise.Verdict;
import org.ebonyford.router.log.LogClient;
import org.ebonyford.router.log.LogException;
import org.ebonyford.router.log.LogSlice;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests {@link EvidenceReport} over what {@link Evidence} hands over.
 */
public class EvidenceReportTest {

	private static final long START = 1_000_000;

	private static final long END = START + 60_000;

	private static final OrganisationId LARGE = new OrganisationId("large");

	private static final OrganisationId SMALL = new OrganisationId("small");

	private static final DataCentreId LEVI = new DataCentreId("levi");

	private MemoryLog log;

	private Outbox outbox;

	private Evidence first;

	private Evidence second;

	@BeforeMethod
	public void open() {
		this.log = new MemoryLog();
		this.outbox = new Outbox();
		this.first = evidence("vm1", START);
		this.second = evidence("vm2", START);
		this.first.members(new TreeSet<>(Set.of(new VmId("vm1"), new VmId("vm2"))));
	}

	@Test
	public void testWholeRecordsShowAllPromisesKept() {
		this.first.inForce(START, state(1, Set.of()));
		this.first.ended(START, key(), new RequestId("r1"), true, Outcome.RAN);
		this.first.refused(START, SMALL, RefusalReason.QUEUE_FULL);
		run(START, END, true, true);
		EvidenceReport report = report();
		assertEquals(report.gaps(), List.of());
		assertTrue(report.promises()
			.stream()
			.allMatch((promise) -> promise.verdict() == Verdict.KEPT || promise.kind() == Kind.FAIRNESS));
	}

	@Test
	public void testKeySentTwiceIsShown() {
		this.first.ended(START, key(), new RequestId("r1"), true, Outcome.UNKNOWN);
		this.second.ended(START, key(), new RequestId("r2"), true, Outcome.RAN);
		run(START, END, true, true);
		assertEquals(verdict(Kind.AT_MOST_ONCE), Verdict.BROKEN);
	}

	@Test
	public void testOrganisationWithoutServiceIsShown() {
		for (long time = START; time < START + 10_000; time += 1_000) {
			this.first.waiting(time, SMALL, 1, 3);
		}
		run(START, END, true, true);
		assertEquals(verdict(Kind.NO_STARVATION), Verdict.BROKEN);
	}

	@Test
	public void testServiceGapIsMeasuredByWeight() {
		for (long time = START; time < START + 20_000; time += 1_000) {
			this.first.waiting(time, LARGE, 2, 1);
			this.second.waiting(time, SMALL, 1, 1);
			this.first.served(time, LARGE, 2, 80);
			this.second.served(time, SMALL, 1, 30);
		}
		run(START, END, true, true);
		assertTrue(promise(Kind.FAIRNESS).details().get(0).contains("differed by 100 "));
	}

	@Test
	public void testWorkForADataCentreOutOfServiceIsShown() {
		this.first.inForce(START, state(1, Set.of(LEVI)));
		this.second.sent(START + 2_000, LEVI);
		run(START, START + 10_000, true, true);
		this.second.sent(START + 10_000, LEVI);
		run(START + 10_000, END, true, true);
		assertEquals(promise(Kind.TAKE_OUT).details().size(), 1);
	}

	@Test
	public void testRevertedVersionIsShown() {
		this.first.inForce(START, state(2, Set.of()));
		this.first.inForce(START + 1, state(1, Set.of()));
		run(START, END, true, true);
		assertEquals(verdict(Kind.CONFIGURATION), Verdict.BROKEN);
	}

	@Test
	public void testKilledRouterLeavesAGap() {
		run(START, START + 5_000, true, true);
		this.second = evidence("vm2", START + 9_000);
		run(START + 9_000, END, true, true);
		Gap gap = report().gaps().get(0);
		assertEquals(List.of(gap.router(), gap.from(), gap.to()), List.of("vm2", START + 5_000, START + 9_000));
		assertEquals(verdict(Kind.AT_MOST_ONCE), Verdict.RECORDS_MISSING);
	}

	@Test
	public void testPlannedStopLeavesNoGap() {
		run(START, START + 5_000, true, true);
		this.second.close(START + 5_500, this.outbox);
		run(START + 6_000, END, true, false);
		assertEquals(report().gaps(), List.of());
	}

	@Test
	public void testListedRouterWithoutRecordsIsAGap() {
		run(START, END, true, false);
		assertEquals(report().gaps().get(0).router(), "vm2");
	}

	@Test
	public void testRemovedRecordsAreAGap() {
		run(START, END, true, true);
		this.log.first = 20;
		assertEquals(report().gaps().get(0).router(), "all");
	}

	@Test
	public void testAppenderRepeatsUntilConfirmedAndReportCountsOnce() throws Exception {
		ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();
		EvidenceAppender appender = new EvidenceAppender(this.log, executor);
		this.first.served(START, LARGE, 1, 5);
		this.first.close(END, this.outbox);
		this.second.close(END, this.outbox);
		this.log.lostAnswers = 1;
		this.outbox.drain().forEach(appender::handle);
		CallerServer.await("the repeated append", () -> sizeOnceIdle(executor) >= 3);
		executor.shutdownNow();
		assertEquals(this.log.records.size(), 3);
		assertEquals(report().gaps(), List.of());
	}

	private int sizeOnceIdle(ExecutorService executor) {
		return CompletableFuture.supplyAsync(() -> this.log.records.size(), executor).join();
	}

	private void run(long from, long to, boolean one, boolean two) {
		for (long time = from; time <= to; time += 1_000) {
			if (one) {
				this.first.tick(time, this.outbox);
			}
			if (two) {
				this.second.tick(time, this.outbox);
			}
			for (Effect effect : this.outbox.drain()) {
				this.log.time = time;
				this.log.append("evidence", new EvidenceCodec().encode(((Effect.AppendEvidence) effect).batch()));
			}
		}
	}

	private EvidenceReport report() {
		return EvidenceReport.between(this.log, START, END).join();
	}

	private Promise promise(Kind kind) {
		return report().promises().stream().filter((promise) -> promise.kind() == kind).findFirst().orElseThrow();
	}

	private Verdict verdict(Kind kind) {
		return promise(kind).verdict();
	}

	private static Evidence evidence(String vm, long start) {
		return new Evidence(1_000, new Incarnation(new VmId(vm), start), start);
	}

	private static ClaimKey key() {
		return new ClaimKey(LARGE, new IdempotencyKey("k"));
	}

	private static ControlState state(long version, Set<DataCentreId> out) {
		return new ControlState(version, "", "", out, Set.of(), Set.of());
	}

	/** A stream in memory. */
	private static final class MemoryLog implements LogClient {

		private final List<LogSlice.LogRecord> records = new ArrayList<>();

		private long time = START;

		private int first;

		private int lostAnswers;

		@Override
		public CompletableFuture<Long> append(String stream, byte[] body) {
			this.records.add(new LogSlice.LogRecord(this.records.size(), this.time, body));
			return (this.lostAnswers-- > 0) ? CompletableFuture.failedFuture(new LogException("lost", true, null))
					: CompletableFuture.completedFuture(this.records.size() - 1L);
		}

		@Override
		public CompletableFuture<LogSlice> read(String stream, long from, int limit, long waitMillis) {
			int start = Math.max((int) from, this.first);
			int next = Math.min(this.records.size(), start + limit);
			return CompletableFuture.completedFuture(
					new LogSlice(this.first, next, this.records.size(), this.records.subList(start, next)));
		}

	}

}
