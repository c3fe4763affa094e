package org.ebonyford.reducer;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.ebonyford.admission.Admission;
import org.ebonyford.claim.ClaimRecord;
import org.ebonyford.claim.ClaimSettings;
import org.ebonyford.control.ControlRecord;
import org.ebonyford.control.ControlState;
import org.ebonyford.control.RefreshPolicy;
import org.ebonyford.dispatch.DispatchSettings;
import org.ebonyford.effect.Effect;
import org.ebonyford.event.Event;
import org.ebonyford.identity.DataCentreId;
import org.ebonyford.identity.Fingerprint;
import org.ebonyford.identity.IdempotencyKey;
import org.ebonyford.identity.Incarnation;
import org.ebonyford.identity.OrganisationId;
import org.ebonyford.identity.PoolId;
import org.ebonyford.identity.RequestClass;
import org.ebonyford.identity.RequestId;
import org.ebonyford.identity.UpstreamId;
import org.ebonyford.identity.VmId;
import org.ebonyford.load.LoadReport;
import org.ebonyford.log.LogEvent;
import org.ebonyford.membership.VmEntry;
import org.ebonyford.membership.VmList;
import org.ebonyford.message.PeerMessage;
import org.ebonyford.peer.Audience;
import org.ebonyford.peer.PeerTimes;
import org.ebonyford.request.Ending;
import org.ebonyford.request.Outcome;
import org.ebonyford.request.RefusalReason;
import org.ebonyford.request.Request;
import org.ebonyford.request.StoredAnswer;
import org.ebonyford.suspect.SuspectSettings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests {@link Reducer}.
 */
public class ReducerTest {

	private static final VmId SELF = new VmId("a");

	private static final VmId PEER = new VmId("b");

	private static final DataCentreId DATA_CENTRE = new DataCentreId("dc");

	private static final UpstreamId UPSTREAM = new UpstreamId("one");

	private static final String PLANS = "[plan gold]\nweight = 1\nmax-queued = 10\n[organisation acme]\nplan = gold\n"
			+ "key-sha256 = " + "0".repeat(64) + "\n";

	private static final String USES = "[pool bookings]\nkind = service\nwarm-limit = 2\ncold-limit = 2\n"
			+ "[upstream one]\npool = bookings\ndata-centre = dc\naddress = 127.0.0.1:1\n"
			+ "[use gold bookings]\nclasses = late\n";

	private Reducer reducer;

	private long now;

	private long claims;

	@BeforeMethod
	public void create() {
		this.now = 1;
		this.claims = 0;
		ReducerSettings settings = new ReducerSettings(DispatchSettings.defaults(), ClaimSettings.DEFAULT,
				SuspectSettings.DEFAULT, new RefreshPolicy(600_000, 1_000, 1_000), new PeerTimes(250, 1_500),
				Audience.ForAll.INSTANCE, 1_000, 500, 100);
		this.reducer = new Reducer(settings, new Incarnation(SELF, 1), DATA_CENTRE, Admission.ByPlan.INSTANCE);
		this.reducer.apply(new Event.Tick(this.now, this.now));
	}

	@Test
	public void testNothingIsTakenWithoutConfiguration() {
		assertEquals(refusal(arrive("r", Optional.empty())), RefusalReason.NOT_READY);
		assertFalse(this.reducer.status().ready());
	}

	@Test
	public void testRouterIsReadyWithConfigurationAndList() {
		serve();
		assertTrue(this.reducer.status().ready());
	}

	@Test
	public void testRouterIsReadyOnceClaimsAreReadOrCannotBe() {
		configure();
		advance(10);
		assertFalse(this.reducer.status().ready());
		this.reducer.apply(new Event.LogUnreachable(this.now, Reducer.CLAIMS_STREAM));
		advance(10);
		assertTrue(this.reducer.status().ready());
	}

	@Test
	public void testPlanLimitsWhatIsUsed() {
		serve();
		Request request = request("r", Optional.empty());
		Request foreign = new Request(request.id(), request.organisation(), new PoolId("none"), request.requestClass(),
				1, request.deadline(), Optional.empty(), request.fingerprint());
		Request classless = new Request(request.id(), request.organisation(), request.pool(), new RequestClass("x"), 1,
				request.deadline(), Optional.empty(), request.fingerprint());
		assertEquals(refusal(this.reducer.apply(new Event.RequestArrived(this.now, foreign))),
				RefusalReason.NO_SUCH_POOL);
		assertEquals(refusal(this.reducer.apply(new Event.RequestArrived(this.now, classless))),
				RefusalReason.NOT_ENTITLED);
	}

	@Test
	public void testRequestIsSentOnce() {
		serve();
		assertEquals(sends(arrive("r", Optional.empty())), 1);
		assertEquals(sends(end("r", Ending.COMPLETED)), 0);
		assertEquals(this.reducer.status().running(), 0);
	}

	@Test
	public void testKeyIsClaimedInTheLogBeforeItsRequestIsSent() {
		serve();
		List<Effect> effects = arrive("r", Optional.of(new IdempotencyKey("k")));
		effects.addAll(advance(100));
		assertEquals(sends(effects), 0);
		Effect.AppendClaims append = append(effects);
		assertEquals(sends(this.reducer
			.apply(new Event.AppendEnded(this.now, append.append(), Event.AppendEnded.Result.APPENDED))), 0);
		assertEquals(sends(read(append.records())), 1);
	}

	@Test
	public void testRepeatOfFinishedKeyGetsTheFirstAnswer() {
		serve();
		claimAndSend("first");
		StoredAnswer answer = new StoredAnswer(200, "text/plain", "booked");
		this.reducer.apply(new Event.ExchangeEnded(this.now, new RequestId("first"), Ending.COMPLETED, 1,
				Optional.of(answer), true));
		List<Effect> effects = arrive("second", Optional.of(new IdempotencyKey("k")));
		assertTrue(effects.contains(new Effect.Replay(new RequestId("second"), answer)));
		assertEquals(sends(effects), 0);
	}

	@Test
	public void testBrokenExchangeOfAKeyIsNotRepeated() {
		serve();
		claimAndSend("first");
		List<Effect> effects = end("first", Ending.BROKEN);
		assertEquals(sends(effects), 0);
		assertEquals(effects.stream()
			.filter(Effect.Refuse.class::isInstance)
			.map((effect) -> ((Effect.Refuse) effect).refusal().outcome())
			.toList(), List.of(Outcome.UNKNOWN));
	}

	@Test
	public void testCallerOfARunningKeyMayLeaveAndTheRunGoesOn() {
		serve();
		claimAndSend("first");
		List<Effect> effects = this.reducer.apply(new Event.CallerLeft(this.now, new RequestId("first")));
		assertFalse(effects.contains(new Effect.Cancel(new RequestId("first"))));
	}

	@Test
	public void testNewerKnowledgeIsFetchedAndRelayed() {
		serve();
		List<Effect> fetch = receive(new PeerMessage.Heartbeat(1, 7, 1, false));
		assertTrue(fetch.contains(new Effect.ToPeer(PEER, new PeerMessage.Fetch(0, 1))));
		List<Effect> relay = receive(new PeerMessage.Fetch(-1, 1));
		assertTrue(relay.stream()
			.anyMatch(
					(effect) -> effect instanceof Effect.ToPeer sent && sent.message() instanceof PeerMessage.Control));
	}

	@Test
	public void testDataCentreOutOfServiceGetsNothing() {
		serve();
		ControlState out = new ControlState(1, PLANS, USES, Set.of(DATA_CENTRE), Set.of(), Set.of());
		receive(new PeerMessage.Control(out));
		assertEquals(refusal(arrive("r", Optional.empty())), RefusalReason.NO_UPSTREAM);
		advance(10);
		assertFalse(this.reducer.status().ready());
	}

	@Test
	public void testPausedRouterSendsNothingUntilItKnowsAfresh() {
		serve();
		this.now += 60_000;
		this.reducer.apply(new Event.Tick(this.now, this.now));
		assertEquals(sends(arrive("r", Optional.empty())), 0);
	}

	@Test
	public void testUpstreamIsNotedWhenItIsWarmAndWhenItStartsAnew() {
		configure();
		assertEquals(notes(advance(100)), List.of(new Effect.Note(LogEvent.UPSTREAM_WARM, "one")));
		assertEquals(
				notes(this.reducer
					.apply(new Event.LoadReported(this.now, UPSTREAM, Optional.of(new LoadReport(2, 0, 0, 0, false))))),
				List.of(new Effect.Note(LogEvent.UPSTREAM_COLD, "one")));
	}

	@Test
	public void testStopWaitsForRunningRequests() {
		serve();
		arrive("r", Optional.empty());
		this.reducer.apply(new Event.StopRequested(this.now));
		assertFalse(advance(2_000).contains(new Effect.Exit()));
		assertEquals(refusal(arrive("late", Optional.empty())), RefusalReason.STOPPING);
		end("r", Ending.COMPLETED);
		assertTrue(advance(2_000).contains(new Effect.Exit()));
	}

	private void serve() {
		configure();
		this.reducer.apply(new Event.ClaimsRead(this.now, 0, 0, 0, List.of()));
		advance(15_000);
	}

	private void configure() {
		ControlState state = new ControlState(0, PLANS, USES, Set.of(), Set.of(), Set.of());
		this.reducer.apply(new Event.VmListRead(this.now,
				new VmList(1, List.of(new VmEntry(SELF, DATA_CENTRE, "127.0.0.1:2", false)), List.of())));
		this.reducer
			.apply(new Event.ControlRead(this.now, 0, 1, 1, List.of(new ControlRecord(0, 0, "id", "test", -1, state))));
	}

	private List<Effect> advance(long millis) {
		List<Effect> effects = new ArrayList<>();
		for (long end = this.now + millis; this.now < end;) {
			this.now += 10;
			effects.addAll(this.reducer.apply(new Event.Tick(this.now, this.now)));
			effects.addAll(this.reducer.apply(new Event.LoadReported(this.now, UPSTREAM,
					Optional.of(new LoadReport(1, this.reducer.status().running(), 0, 0, false)))));
		}
		return effects;
	}

	private static Request request(String id, Optional<IdempotencyKey> key, long deadline) {
		return new Request(new RequestId(id), new OrganisationId("acme"), new PoolId("bookings"),
				new RequestClass("late"), 1, deadline, key, new Fingerprint("f"));
	}

	private Request request(String id, Optional<IdempotencyKey> key) {
		return request(id, key, this.now + 60_000);
	}

	private List<Effect> arrive(String id, Optional<IdempotencyKey> key) {
		return new ArrayList<>(this.reducer.apply(new Event.RequestArrived(this.now, request(id, key))));
	}

	private List<Effect> end(String id, Ending ending) {
		return this.reducer
			.apply(new Event.ExchangeEnded(this.now, new RequestId(id), ending, 1, Optional.empty(), false));
	}

	private List<Effect> receive(PeerMessage message) {
		return this.reducer.apply(new Event.MessageReceived(this.now, new Incarnation(PEER, 1), message));
	}

	private List<Effect> read(List<ClaimRecord> records) {
		this.claims++;
		return this.reducer.apply(new Event.ClaimsRead(this.now, 0, this.claims, this.claims, records));
	}

	private void claimAndSend(String id) {
		List<Effect> effects = arrive(id, Optional.of(new IdempotencyKey("k")));
		effects.addAll(advance(100));
		assertEquals(sends(read(append(effects).records())), 1);
	}

	private static Effect.AppendClaims append(List<Effect> effects) {
		return effects.stream()
			.filter(Effect.AppendClaims.class::isInstance)
			.map(Effect.AppendClaims.class::cast)
			.findFirst()
			.orElseThrow();
	}

	private static List<Effect> notes(List<Effect> effects) {
		return effects.stream()
			.filter((effect) -> effect instanceof Effect.Note note && note.subject().equals(UPSTREAM.value()))
			.toList();
	}

	private static long sends(List<Effect> effects) {
		return effects.stream().filter(Effect.Send.class::isInstance).count();
	}

	private static RefusalReason refusal(List<Effect> effects) {
		return effects.stream()
			.filter(Effect.Refuse.class::isInstance)
			.map((effect) -> ((Effect.Refuse) effect).refusal().reason())
			.findFirst()
			.orElseThrow();
	}

}
