package org.ebonyford.router.log;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.ebonyford.claim.ClaimRecord;
import org.ebonyford.claim.ClaimRecord.Kind;
import org.ebonyford.effect.Effect;
import org.ebonyford.event.Event;
import org.ebonyford.event.Event.AppendEnded.Result;
import org.ebonyford.identity.Fingerprint;
import org.ebonyford.identity.IdempotencyKey;
import org.ebonyford.identity.Incarnation;
import org.ebonyford.identity.OrganisationId;
import org.ebonyford.identity.VmId;
import org.ebonyford.request.StoredAnswer;
import org.ebonyford.router.log.LogServiceStub.Fault;
import org.ebonyford.time.Clock;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests {@link LogTailer} together with {@link ClaimAppender}.
 */
public class LogTailerTest {

	private static final long GENEROUS_SECONDS = 120;

	private static final long GENEROUS_MILLIS = TimeUnit.SECONDS.toMillis(GENEROUS_SECONDS);

	private final Clock clock = Clock.ForSystem.INSTANCE;

	private LogServiceStub service;

	private HttpLogClient client;

	private ScheduledExecutorService executor;

	private BlockingQueue<Event> events;

	private LogTailer tailer;

	@BeforeMethod
	public void open() {
		this.service = new LogServiceStub();
		this.client = HttpLogClient.of(this.service.address(),
				new LogTimeouts(GENEROUS_MILLIS, GENEROUS_MILLIS, GENEROUS_MILLIS));
		this.executor = Executors.newSingleThreadScheduledExecutor();
		this.events = new LinkedBlockingQueue<>();
		this.tailer = LogTailer.ofClaims(this.client, this.events::add, this.clock, this.executor);
	}

	@AfterMethod
	public void close() {
		this.tailer.close();
		this.executor.shutdownNow();
		this.client.close();
		this.service.close();
	}

	@Test
	public void testReadsStatementsInOrder() throws InterruptedException {
		List<ClaimRecord> claims = List.of(claim("c0", Kind.CLAIM), claim("c1", Kind.RAN), claim("c2", Kind.UNKNOWN));
		claims.forEach((claim) -> append(List.of(claim)));
		this.tailer.start();
		assertEquals(read(3), claims);
	}

	@Test
	public void testReadsOnAfterAnOutage() throws InterruptedException {
		append(List.of(claim("c0", Kind.CLAIM)));
		this.tailer.start();
		read(1);
		this.service.fault = Fault.UNAVAILABLE;
		assertEquals(next(Event.LogUnreachable.class).stream(), LogStreams.CLAIMS);
		this.service.fault = Fault.NONE;
		append(List.of(claim("c1", Kind.CLAIM), claim("c2", Kind.CLAIM)));
		assertEquals(read(2).get(1).claimId(), "c2");
	}

	@Test
	public void testSkipsARecordOfUnknownForm() throws InterruptedException {
		this.service.records.add("{}".getBytes());
		append(List.of(claim("c0", Kind.CLAIM)));
		this.tailer.start();
		assertEquals(read(1).get(0).claimId(), "c0");
	}

	@Test
	public void testAppenderReportsHowAppendsEnd() throws InterruptedException {
		assertEquals(append(Fault.NONE), Result.APPENDED);
		assertEquals(append(Fault.UNAVAILABLE), Result.FAILED);
		assertEquals(append(Fault.LOST), Result.UNKNOWN);
	}

	private Result append(Fault fault) throws InterruptedException {
		this.service.fault = fault;
		new ClaimAppender(this.client, this.events::add, this.clock)
			.handle(new Effect.AppendClaims(9, List.of(claim("c", Kind.CLAIM))));
		return next(Event.AppendEnded.class).result();
	}

	private void append(List<ClaimRecord> claims) {
		this.client.append(LogStreams.CLAIMS, new ClaimCodec().encode(claims)).join();
	}

	private List<ClaimRecord> read(int count) throws InterruptedException {
		List<ClaimRecord> records = new ArrayList<>();
		while (records.size() < count) {
			records.addAll(next(Event.ClaimsRead.class).records());
		}
		return records;
	}

	private <T extends Event> T next(Class<T> type) throws InterruptedException {
		Event event = this.events.poll(GENEROUS_SECONDS, TimeUnit.SECONDS);
		assertTrue(event != null, "no event");
		return type.isInstance(event) ? type.cast(event) : next(type);
	}

	private static ClaimRecord claim(String name, Kind kind) {
		return new ClaimRecord(kind, name, new OrganisationId("o"), new IdempotencyKey("k"), new Fingerprint("f"),
				new Incarnation(new VmId("vm"), 3), 1_700_000_000_000L,
				(kind == Kind.RAN) ? Optional.of(new StoredAnswer(201, "text/plain", "ä\"\n")) : Optional.empty());
	}

}
