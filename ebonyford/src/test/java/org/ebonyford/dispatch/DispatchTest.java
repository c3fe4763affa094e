package org.ebonyford.dispatch;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.ebonyford.configuration.Configuration;
import org.ebonyford.configuration.Organisation;
import org.ebonyford.configuration.Plan;
import org.ebonyford.configuration.Pool;
import org.ebonyford.configuration.Upstream;
import org.ebonyford.effect.Effect;
import org.ebonyford.effect.Outbox;
import org.ebonyford.identity.DataCentreId;
import org.ebonyford.identity.Fingerprint;
import org.ebonyford.identity.GrantId;
import org.ebonyford.identity.IdempotencyKey;
import org.ebonyford.identity.Incarnation;
import org.ebonyford.identity.OrganisationId;
import org.ebonyford.identity.PlanId;
import org.ebonyford.identity.PoolId;
import org.ebonyford.identity.RequestClass;
import org.ebonyford.identity.RequestId;
import org.ebonyford.identity.UpstreamId;
import org.ebonyford.identity.VmId;
import org.ebonyford.load.LoadReport;
import org.ebonyford.message.PeerMessage;
import org.ebonyford.request.Ending;
import org.ebonyford.request.Outcome;
import org.ebonyford.request.RefusalReason;
import org.ebonyford.request.Request;
import org.ebonyford.topology.Topology;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests {@link Dispatch}.
 */
public class DispatchTest {

	private static final PoolId ENGINES = new PoolId("engines");

	private static final PoolId SERVICES = new PoolId("services");

	private static final UpstreamId ENGINE = new UpstreamId("engine");

	private static final UpstreamId SERVICE = new UpstreamId("service");

	private static final OrganisationId ORGANISATION = new OrganisationId("one");

	private static final RequestId ID = new RequestId("r");

	private static final Incarnation PEER = new Incarnation(new VmId("vm-1"), 1);

	private static final int MAX_QUEUED = 3;

	private Dispatch dispatch;

	private long now;

	@BeforeMethod
	public void start() {
		this.now = 0;
		this.dispatch = new Dispatch(DispatchSettings.defaults(), new Incarnation(new VmId("vm-0"), 1));
		call((outbox) -> this.dispatch.topology(this.now, topology(Set.of()), outbox));
		while (this.now < 10_000) {
			pass(100);
		}
	}

	@Test
	public void testRequestIsSentAtOnceOnAnOwnFreeSlot() {
		assertEquals(sent(enqueue(request(ID, ENGINES))).upstream(), ENGINE);
	}

	@Test
	public void testDeclinedRequestIsSentAgainAfterABackoff() {
		enqueue(request(ID, ENGINES));
		Outbox outbox = new Outbox();
		assertEquals(this.dispatch.ended(this.now, ID, Ending.DECLINED, 0, false, outbox), Completion.REQUEUED);
		assertTrue(outbox.drain().isEmpty());
		assertEquals(sent(pass(100)).request(), ID);
	}

	@Test
	public void testBrokenEngineRequestIsSentAgainTwiceAtMost() {
		enqueue(request(ID, ENGINES));
		assertEquals(end(Ending.BROKEN), Completion.REQUEUED);
		pass(1_200);
		pass(100);
		assertEquals(end(Ending.BROKEN), Completion.REQUEUED);
		pass(1_200);
		pass(100);
		assertEquals(end(Ending.BROKEN), Completion.REFUSED);
	}

	@Test
	public void testBrokenRequestWithKeyIsRefusedAsUnknown() {
		Request plain = request(ID, ENGINES);
		enqueue(new Request(ID, ORGANISATION, ENGINES, plain.requestClass(), 1, plain.deadline(),
				Optional.of(new IdempotencyKey("key")), plain.fingerprint()));
		List<Effect> effects = call((outbox) -> this.dispatch.ended(this.now, ID, Ending.BROKEN, 0, false, outbox));
		assertRefused(effects, RefusalReason.UPSTREAM_BROKEN, Outcome.UNKNOWN);
	}

	@Test
	public void testBrokenServiceRequestIsRefusedAsUnknown() {
		enqueue(request(ID, SERVICES));
		List<Effect> effects = call((outbox) -> this.dispatch.ended(this.now, ID, Ending.BROKEN, 0, false, outbox));
		assertRefused(effects, RefusalReason.UPSTREAM_BROKEN, Outcome.UNKNOWN);
	}

	@Test
	public void testRequestPastItsDeadlineIsRefusedAsNotRun() {
		enqueue(request(new RequestId("first"), SERVICES));
		enqueue(request(ID, SERVICES));
		assertRefused(pass(60_000), RefusalReason.DEADLINE, Outcome.NOT_RUN);
	}

	@Test
	public void testRequestPastItsDeadlineAfterABreakIsRefusedAsUnknown() {
		enqueue(request(ID, ENGINES));
		end(Ending.BROKEN);
		assertRefused(pass(60_000), RefusalReason.DEADLINE, Outcome.UNKNOWN);
	}

	@Test
	public void testFullQueueIsRefusedAsNotRun() {
		for (int index = 0; index <= MAX_QUEUED; index++) {
			enqueue(request(new RequestId("r" + index), SERVICES));
		}
		assertRefused(enqueue(request(ID, SERVICES)), RefusalReason.QUEUE_FULL, Outcome.NOT_RUN);
	}

	@Test
	public void testQueueOfAPoolThatClosesIsRefusedAtOnce() {
		enqueue(request(new RequestId("first"), SERVICES));
		enqueue(request(ID, SERVICES));
		List<Effect> effects = call((outbox) -> this.dispatch.topology(this.now, topology(Set.of(SERVICE)), outbox));
		assertRefused(effects, RefusalReason.NO_UPSTREAM, Outcome.NOT_RUN);
	}

	@Test
	public void testUnknownPoolIsRefused() {
		assertRefused(enqueue(request(ID, new PoolId("other"))), RefusalReason.NO_SUCH_POOL, Outcome.NOT_RUN);
	}

	@Test
	public void testWithdrawnRequestThatWaitsNeverRuns() {
		enqueue(request(new RequestId("first"), SERVICES));
		enqueue(request(ID, SERVICES));
		call((outbox) -> this.dispatch.withdraw(this.now, ID, outbox));
		List<Effect> effects = call(
				(outbox) -> this.dispatch.ended(this.now, new RequestId("first"), Ending.COMPLETED, 1, false, outbox));
		assertTrue(effects.isEmpty());
	}

	@Test
	public void testWithdrawnRequestThatRunsIsCancelledAndOver() {
		enqueue(request(ID, ENGINES));
		List<Effect> effects = call((outbox) -> this.dispatch.withdraw(this.now, ID, outbox));
		assertEquals(effects, List.of(new Effect.Cancel(ID)));
		assertEquals(end(Ending.DECLINED), Completion.OVER);
	}

	@Test
	public void testSurplusGrantIsHandedBackAtOnce() {
		assertHandedBack(grant(1, this.now));
	}

	@Test
	public void testGrantForAnotherIncarnationIsHandedBack() {
		enqueue(request(new RequestId("first"), SERVICES));
		enqueue(request(ID, SERVICES));
		assertHandedBack(grant(0, this.now));
	}

	@Test
	public void testLapsedGrantIsHandedBack() {
		enqueue(request(new RequestId("first"), SERVICES));
		enqueue(request(ID, SERVICES));
		assertHandedBack(grant(1, this.now - 2_000));
	}

	@Test
	public void testGrantOfAnotherOwnerSendsTheRequestWithinItsTime() {
		enqueue(request(new RequestId("first"), SERVICES));
		enqueue(request(ID, SERVICES));
		assertEquals(sent(grant(1, this.now - 10)).notAfter(), this.now - 10 + 1_000);
	}

	@Test
	public void testNothingIsGrantedAfterAPauseUntilAFreshTopology() {
		this.now += 500;
		call((outbox) -> this.dispatch.resumed(this.now, outbox));
		assertTrue(enqueue(request(ID, ENGINES)).isEmpty());
		assertTrue(pass(50).isEmpty());
		List<Effect> effects = call((outbox) -> this.dispatch.topology(this.now, topology(Set.of()), outbox));
		assertEquals(sent(effects).request(), ID);
	}

	@Test
	public void testUnchangedTopologyIsInForceAgainSomeTimeAfterAPause() {
		this.now += 500;
		call((outbox) -> this.dispatch.resumed(this.now, outbox));
		enqueue(request(ID, ENGINES));
		assertTrue(pass(2_100).isEmpty());
		assertEquals(sent(pass(100)).request(), ID);
	}

	@Test
	public void testRequestWithdrawnBeforeItWasSentDoesNotStopItsUpstream() {
		enqueue(request(ID, ENGINES));
		call((outbox) -> this.dispatch.withdraw(this.now, ID, outbox));
		assertEquals(end(Ending.NOT_SENT), Completion.OVER);
		assertEquals(sent(enqueue(request(new RequestId("next"), ENGINES))).upstream(), ENGINE);
	}

	@Test
	public void testNothingIsGrantedAfterAPauseUntilAFreshReport() {
		this.now += 500;
		call((outbox) -> this.dispatch.resumed(this.now, outbox));
		call((outbox) -> this.dispatch.topology(this.now, topology(Set.of()), outbox));
		assertTrue(enqueue(request(ID, ENGINES)).isEmpty());
		assertEquals(sent(pass(50)).request(), ID);
	}

	@Test
	public void testStoppingRouterServesWhatWaitsUntilItIsIdle() {
		enqueue(request(new RequestId("first"), SERVICES));
		enqueue(request(ID, SERVICES));
		call((outbox) -> this.dispatch.stopping(this.now, outbox));
		call((outbox) -> this.dispatch.ended(this.now, new RequestId("first"), Ending.COMPLETED, 1, false, outbox));
		assertTrue(!this.dispatch.idle());
		end(Ending.COMPLETED);
		assertTrue(this.dispatch.idle());
	}

	@Test
	public void testNewIncarnationGetsAllServiceRows() {
		enqueue(request(ID, ENGINES));
		end(Ending.COMPLETED);
		List<Effect> effects = call((outbox) -> this.dispatch.peerSeen(this.now, PEER, outbox));
		assertTrue(effects.stream()
			.anyMatch((effect) -> effect instanceof Effect.ToPeer message
					&& message.message() instanceof PeerMessage.Service service && service.rows().size() == 1));
	}

	@Test
	public void testTotalsOfAVmThatLeftTheListAreTakenOver() {
		PeerMessage.Service.Row row = new PeerMessage.Service.Row(ORGANISATION, 7, 0, 0, false);
		PeerMessage totals = new PeerMessage.Service(PEER, ENGINES, List.of(row));
		call((outbox) -> this.dispatch.received(this.now, PEER, totals, outbox));
		pass(1_000);
		pass(3_600_000);
		Incarnation other = new Incarnation(new VmId("vm-2"), 1);
		List<Effect> effects = call((outbox) -> this.dispatch.peerSeen(this.now, other, outbox));
		assertTrue(effects.contains(new Effect.ToPeer(other.vm(), new PeerMessage.Service(PEER, ENGINES, List.of()))),
				effects.toString());
		assertEquals(this.dispatch.service(ENGINES), Map.of(ORGANISATION, 7L));
	}

	private List<Effect> grant(long incarnation, long echo) {
		PeerMessage.Grant grant = new PeerMessage.Grant(new GrantId(PEER, 1), SERVICE, incarnation, 1, SERVICES,
				ORGANISATION, 1, echo, 1_000);
		return call((outbox) -> this.dispatch.received(this.now, PEER, grant, outbox));
	}

	private Completion end(Ending ending) {
		return this.dispatch.ended(this.now, ID, ending, 1, false, new Outbox());
	}

	private List<Effect> enqueue(Request request) {
		return call((outbox) -> this.dispatch.enqueue(this.now, request, outbox));
	}

	private Request request(RequestId id, PoolId pool) {
		return new Request(id, ORGANISATION, pool, new RequestClass("chat"), 1, this.now + 30_000, Optional.empty(),
				new Fingerprint("f"));
	}

	private List<Effect> pass(long millis) {
		this.now += millis;
		return call((outbox) -> {
			LoadReport report = new LoadReport(1, 0, 0, 0, false);
			this.dispatch.reported(this.now, ENGINE, Optional.of(report), outbox);
			this.dispatch.reported(this.now, SERVICE, Optional.of(report), outbox);
			this.dispatch.tick(this.now, outbox);
		});
	}

	private static List<Effect> call(java.util.function.Consumer<Outbox> action) {
		Outbox outbox = new Outbox();
		action.accept(outbox);
		return outbox.drain();
	}

	private static Effect.Send sent(List<Effect> effects) {
		assertEquals(effects.size(), 1, effects.toString());
		return (Effect.Send) effects.get(0);
	}

	private static void assertHandedBack(List<Effect> effects) {
		assertTrue(effects.contains(
				new Effect.ToPeer(PEER.vm(), new PeerMessage.GrantEnded(new GrantId(PEER, 1), Ending.NOT_SENT, 0))),
				effects.toString());
	}

	private static void assertRefused(List<Effect> effects, RefusalReason reason, Outcome outcome) {
		Effect.Refuse refuse = (Effect.Refuse) effects.stream()
			.filter((effect) -> effect instanceof Effect.Refuse)
			.findFirst()
			.orElseThrow();
		assertEquals(refuse.request(), ID);
		assertEquals(refuse.refusal().reason(), reason);
		assertEquals(refuse.refusal().outcome(), outcome);
	}

	private static Topology topology(Set<UpstreamId> closed) {
		DataCentreId centre = new DataCentreId("a");
		SortedSet<VmId> self = new TreeSet<>(Set.of(new VmId("vm-0")));
		PlanId plan = new PlanId("plan");
		Map<PoolId, Pool> pools = Map.of(ENGINES, new Pool(ENGINES, Pool.Kind.ENGINE, 1, 1), SERVICES,
				new Pool(SERVICES, Pool.Kind.SERVICE, 1, 1));
		Map<UpstreamId, Upstream> upstreams = Map.of(ENGINE, new Upstream(ENGINE, ENGINES, centre, "engine:1"), SERVICE,
				new Upstream(SERVICE, SERVICES, centre, "service:1"));
		Configuration configuration = new Configuration(Map.of(plan, new Plan(plan, 1, MAX_QUEUED)),
				Map.of(ORGANISATION, new Organisation(ORGANISATION, plan, "")), pools, upstreams, List.of());
		return new Topology(new VmId("vm-0"), centre, 1, Map.of(centre, self), self, configuration, closed);
	}

}
