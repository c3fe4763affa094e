package org.ebonyford.reducer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.ebonyford.admission.Admission;
import org.ebonyford.claim.ClaimListener;
import org.ebonyford.claim.Claims;
import org.ebonyford.claim.WriterOrder;
import org.ebonyford.configuration.Configuration;
import org.ebonyford.configuration.ConfigurationReader;
import org.ebonyford.configuration.Upstream;
import org.ebonyford.control.ControlLog;
import org.ebonyford.control.ControlState;
import org.ebonyford.dispatch.Completion;
import org.ebonyford.dispatch.Dispatch;
import org.ebonyford.effect.Effect;
import org.ebonyford.effect.Outbox;
import org.ebonyford.event.Event;
import org.ebonyford.identity.DataCentreId;
import org.ebonyford.identity.Incarnation;
import org.ebonyford.identity.RequestId;
import org.ebonyford.identity.UpstreamId;
import org.ebonyford.identity.VmId;
import org.ebonyford.lifecycle.Lifecycle;
import org.ebonyford.load.LoadReport;
import org.ebonyford.log.LogEvent;
import org.ebonyford.membership.Members;
import org.ebonyford.membership.VmEntry;
import org.ebonyford.message.PeerMessage;
import org.ebonyford.peer.Knowledge;
import org.ebonyford.peer.Peers;
import org.ebonyford.peer.Sighting;
import org.ebonyford.request.Ending;
import org.ebonyford.request.Outcome;
import org.ebonyford.request.Refusal;
import org.ebonyford.request.RefusalReason;
import org.ebonyford.request.Request;
import org.ebonyford.suspect.SuspectTracker;
import org.ebonyford.topology.Topology;
import org.ebonyford.topology.TopologyBuilder;

/**
 * Applies events to the state of one router and tells what is to be done. It has no
 * thread, clock, input or output of its own, so that the same events always give the same
 * effects.
 */
public final class Reducer implements Function<Event, List<Effect>> {

	/**
	 * The name of the control stream of the log.
	 */
	public static final String CONTROL_STREAM = "control";

	/**
	 * The name of the claims stream of the log.
	 */
	public static final String CLAIMS_STREAM = "claims";

	/**
	 * The milliseconds after which a refused caller is told to come again.
	 */
	private static final long RETRY_AFTER_MILLIS = 1_000;

	/**
	 * The bounds.
	 */
	private final ReducerSettings settings;

	/**
	 * The process of this router.
	 */
	private final Incarnation self;

	/**
	 * Builds the fleet as this router sees it.
	 */
	private final TopologyBuilder topologies;

	/**
	 * Checks requests against the configuration.
	 */
	private final Admission admission;

	/**
	 * Decides on who runs what where.
	 */
	private final Dispatch dispatch;

	/**
	 * Decides on requests that may not be repeated.
	 */
	private final Claims claims;

	/**
	 * Decides on requests that crash upstreams.
	 */
	private final SuspectTracker suspects;

	/**
	 * Follows what operators control.
	 */
	private final ControlLog control;

	/**
	 * Follows the list of VMs.
	 */
	private final Members members = new Members();

	/**
	 * Follows the other routers.
	 */
	private final Peers peers;

	/**
	 * Follows the life of this process.
	 */
	private final Lifecycle lifecycle;

	/**
	 * Gathers evidence.
	 */
	private final Recorder recorder;

	/**
	 * The requests that have no final answer yet.
	 */
	private final Map<RequestId, Request> requests = new HashMap<>();

	/**
	 * The requests with a key that wait for an upstream.
	 */
	private final Set<RequestId> dispatched = new HashSet<>();

	/**
	 * The exchanges under way.
	 */
	private final Map<RequestId, Exchange> exchanges = new HashMap<>();

	/**
	 * The upstreams whose latest report says that they leave.
	 */
	private final Set<UpstreamId> leaving = new HashSet<>();

	/**
	 * The upstreams that reached their warm limit.
	 */
	private final Set<UpstreamId> warm = new HashSet<>();

	/**
	 * The incarnation that each upstream is known to have, from its reports and from
	 * grants.
	 */
	private final Map<UpstreamId, Long> upstreamIncarnations = new HashMap<>();

	/**
	 * The streams of the log that are out of reach.
	 */
	private final Set<String> unreachable = new HashSet<>();

	/**
	 * Collects the effects of the event that is being applied.
	 */
	private final Outbox outbox = new Outbox();

	/**
	 * The fleet as this router sees it, {@code null} until a configuration and a list are
	 * there.
	 */
	private Topology topology;

	/**
	 * The clock reading of the last tick in milliseconds.
	 */
	private long lastTick = Long.MIN_VALUE;

	/**
	 * The wall-clock time of the last tick in milliseconds since the epoch.
	 */
	private long epochMillis;

	/**
	 * Creates the state of a router that knows nothing yet.
	 * @param settings the bounds
	 * @param self the process of this router
	 * @param dataCentre the data centre of this router
	 * @param admission checks requests against the configuration
	 */
	public Reducer(ReducerSettings settings, Incarnation self, DataCentreId dataCentre, Admission admission) {
		AtomicLong appends = new AtomicLong();
		this.settings = settings;
		this.self = self;
		this.topologies = new TopologyBuilder(self.vm(), dataCentre);
		this.admission = admission;
		this.dispatch = new Dispatch(settings.dispatch(), self);
		this.claims = new Claims(settings.claims(), self, new Holding());
		this.suspects = new SuspectTracker(settings.suspects());
		this.control = new ControlLog(self, ConfigurationReader.ForIni.INSTANCE, settings.refresh(),
				appends::incrementAndGet);
		this.peers = new Peers(self.vm(), settings.peerTimes(), settings.audience());
		this.lifecycle = new Lifecycle(settings.noticeMillis());
		this.recorder = new Recorder(settings.evidenceMillis(), self);
	}

	/**
	 * Applies an event.
	 * @param event the event
	 * @return what is to be done, in this order
	 */
	@Override
	public List<Effect> apply(Event event) {
		if (event instanceof Event.Tick tick) {
			tick(tick);
		}
		else if (event instanceof Event.RequestArrived arrived) {
			arrived(arrived.at(), arrived.request());
		}
		else if (event instanceof Event.ExchangeEnded ended) {
			exchangeEnded(ended);
		}
		else if (event instanceof Event.MessageReceived received) {
			received(received);
		}
		else if (event instanceof Event.CallerLeft left) {
			callerLeft(left.at(), left.request());
		}
		else if (event instanceof Event.LoadReported reported) {
			loadReported(reported);
		}
		else {
			applyPlatform(event);
		}
		return settle(event.at());
	}

	/**
	 * Returns what the router tells operators about itself.
	 * @return the status at this moment
	 */
	public RouterStatus status() {
		Optional<ControlState> state = this.control.current();
		return new RouterStatus(this.self.vm().value(), this.self.number(), this.topologies.dataCentre().value(),
				this.lifecycle.ready(), this.lifecycle.reason(), this.control.version(), this.members.revision(),
				names(state.map(ControlState::dataCentresOut)), names(state.map(ControlState::vmsOut)),
				names(state.map(ControlState::upstreamsOut)), names(Optional.of(this.peers.present())),
				this.dispatch.queued(), this.dispatch.running(), this.claims.complete(), limits());
	}

	private static List<String> names(Optional<? extends Collection<?>> identifiers) {
		return identifiers.stream().flatMap(Collection::stream).map(Object::toString).sorted().toList();
	}

	private Map<String, Integer> limits() {
		if (this.topology == null) {
			return Map.of();
		}
		return watched().keySet()
			.stream()
			.collect(Collectors.toMap(UpstreamId::value, this.dispatch::limit, (first, second) -> first, TreeMap::new));
	}

	private void applyPlatform(Event event) {
		if (event instanceof Event.VmListRead read) {
			membersOffered(read.at(), new PeerMessage.Members(read.list()));
		}
		else if (event instanceof Event.ControlRead read) {
			reachable(CONTROL_STREAM);
			controlChanged(read.at(), this.control.read(read, this.outbox));
		}
		else if (event instanceof Event.ClaimsRead read) {
			reachable(CLAIMS_STREAM);
			this.claims.read(read, this.outbox);
		}
		else if (event instanceof Event.LogUnreachable outage) {
			logUnreachable(outage);
		}
		else if (event instanceof Event.AppendEnded ended) {
			this.claims.appendEnded(ended.at(), ended.append(), ended.result(), this.outbox);
		}
		else if (event instanceof Event.StopRequested stop) {
			this.lifecycle.stop(stop.at(), this.outbox);
			this.dispatch.stopping(stop.at(), this.outbox);
			this.claims.stopping();
		}
	}

	private void tick(Event.Tick tick) {
		long now = tick.at();
		boolean paused = this.lastTick != Long.MIN_VALUE && now - this.lastTick > this.settings.pauseMillis();
		this.lastTick = now;
		this.epochMillis = tick.epochMillis();
		this.recorder.advance(this.epochMillis);
		if (paused) {
			resumed(now);
		}
		Knowledge knowledge = knowledge();
		this.peers.tick(now, knowledge, this.lifecycle.stopping(), this.outbox).forEach((vm) -> peerLost(now, vm));
		this.dispatch.tick(now, this.outbox);
		this.claims.tick(now, tick.epochMillis(), this.outbox);
		this.suspects.tick(now, this.outbox);
		this.control.tick(now, tick.epochMillis(), this.outbox);
		this.lifecycle.updateReadiness(obstacle(), this.outbox);
		if (this.topology != null) {
			this.recorder.tick(this.topology, this.dispatch, this.outbox);
		}
		boolean idle = idle();
		if (idle && this.lifecycle.refusesRequests(now)) {
			this.recorder.close(this.outbox);
		}
		this.lifecycle.tick(now, idle, this.outbox);
	}

	private void peerLost(long now, VmId vm) {
		this.dispatch.peerLost(now, vm, this.outbox);
		this.claims.peerLost(now, vm, this.outbox);
	}

	private void resumed(long now) {
		this.outbox.add(new Effect.Note(LogEvent.PAUSED, ""));
		this.peers.resumed(now);
		this.dispatch.resumed(now, this.outbox);
		this.claims.resumed(now, this.outbox);
		Knowledge knowledge = knowledge();
		PeerMessage fetch = new PeerMessage.Fetch(knowledge.controlVersion(), knowledge.listRevision());
		this.peers.all().forEach((vm) -> this.outbox.add(new Effect.ToPeer(vm, fetch)));
	}

	private String obstacle() {
		if (this.control.current().isEmpty()) {
			return "no configuration is in force";
		}
		if (this.members.list().isEmpty()) {
			return "no list of VMs was read";
		}
		if (!this.claims.complete() && !this.unreachable.contains(CLAIMS_STREAM)) {
			return "the claims have not been read";
		}
		if (this.members.leaving(this.self.vm())) {
			return "the platform takes this VM away";
		}
		return outOfService(this.control.current().get()) ? "this VM or its data centre is out of service" : "";
	}

	private boolean outOfService(ControlState state) {
		return state.vmsOut().contains(this.self.vm()) || state.dataCentresOut().contains(this.topologies.dataCentre());
	}

	private boolean idle() {
		return this.requests.isEmpty() && this.exchanges.isEmpty() && this.dispatch.idle() && this.claims.pending() == 0
				&& this.claims.backlog() == 0;
	}

	private void arrived(long now, Request request) {
		Optional<RefusalReason> obstacle = refusal(now, request);
		if (obstacle.isPresent()) {
			refuse(request.id(), obstacle.get());
			return;
		}
		this.requests.put(request.id(), request);
		if (request.key().isPresent()) {
			this.claims.begin(now, this.epochMillis, request, this.outbox);
		}
		else {
			this.dispatch.enqueue(now, request, this.outbox);
		}
	}

	private Optional<RefusalReason> refusal(long now, Request request) {
		if (this.lifecycle.refusesRequests(now)) {
			return Optional.of(RefusalReason.STOPPING);
		}
		if (this.topology == null) {
			return Optional.of(RefusalReason.NOT_READY);
		}
		if (request.deadline() <= now) {
			return Optional.of(RefusalReason.DEADLINE);
		}
		if (this.suspects.isSuspected(now, request.fingerprint())
				|| this.suspects.awaitsEvaluation(request.fingerprint())) {
			return Optional.of(RefusalReason.SUSPECTED);
		}
		return this.admission.check(request, this.topology.configuration());
	}

	private void refuse(RequestId request, RefusalReason reason) {
		OptionalLong retryAfter = switch (reason) {
			case NOT_READY, STOPPING -> OptionalLong.of(RETRY_AFTER_MILLIS);
			default -> OptionalLong.empty();
		};
		this.outbox.add(new Effect.Refuse(request, new Refusal(reason, Outcome.NOT_RUN, retryAfter)));
	}

	private void callerLeft(long now, RequestId id) {
		Request request = this.requests.get(id);
		if (request == null) {
			return;
		}
		if (request.key().isEmpty()) {
			this.dispatch.withdraw(now, id, this.outbox);
			this.requests.remove(id);
		}
		else if (!this.exchanges.containsKey(id)) {
			withdrawClaimed(now, id);
		}
	}

	private void withdrawClaimed(long now, RequestId id) {
		if (this.dispatched.remove(id)) {
			this.dispatch.withdraw(now, id, this.outbox);
		}
		this.claims.abandoned(now, id, this.outbox);
		this.requests.remove(id);
	}

	private void exchangeEnded(Event.ExchangeEnded event) {
		Exchange exchange = this.exchanges.remove(event.request());
		Request request = this.requests.get(event.request());
		if (exchange != null && request != null) {
			this.recorder.ended(this.topology, request, event);
			judge(event, exchange, request);
		}
		boolean unrepeatable = event.answering()
				|| request != null && this.suspects.awaitsEvaluation(request.fingerprint());
		Completion completion = this.dispatch.ended(event.at(), event.request(), event.ending(), event.cost(),
				unrepeatable, this.outbox);
		if (completion == Completion.REQUEUED) {
			this.claims.notRun(event.at(), event.request());
			return;
		}
		if (request != null && request.key().isPresent()) {
			this.dispatched.remove(event.request());
			this.claims.ended(event.at(), event.request(), event.ending(), event.answer(), this.outbox);
		}
		this.requests.remove(event.request());
	}

	private void judge(Event.ExchangeEnded event, Exchange exchange, Request request) {
		if (event.ending() == Ending.COMPLETED) {
			this.suspects.recordCompletion(event.at(), request.fingerprint());
		}
		else if (event.ending() == Ending.BROKEN) {
			long together = 1 + this.exchanges.values()
				.stream()
				.filter((other) -> other.upstream().equals(exchange.upstream()))
				.count();
			this.suspects.recordCrash(event.at(), request.fingerprint(), exchange.upstream(), exchange.incarnation(),
					(int) together, this.outbox);
			this.outbox.add(new Effect.Note(LogEvent.EXCHANGE_BROKEN, event.request().value()));
		}
	}

	private void loadReported(Event.LoadReported event) {
		event.report().ifPresent((report) -> noteReport(event.at(), event.upstream(), report));
		this.dispatch.reported(event.at(), event.upstream(), event.report(), this.outbox);
		noteWarmth(event.upstream());
	}

	private void noteWarmth(UpstreamId upstream) {
		boolean isWarm = Optional.ofNullable(this.topology)
			.map((fleet) -> fleet.configuration().upstreams().get(upstream))
			.map((entry) -> this.topology.configuration().pools().get(entry.pool()))
			.filter((pool) -> this.dispatch.limit(upstream) >= pool.warmLimit())
			.isPresent();
		if (!isWarm) {
			this.warm.remove(upstream);
		}
		else if (this.warm.add(upstream)) {
			this.outbox.add(new Effect.Note(LogEvent.UPSTREAM_WARM, upstream.value()));
		}
	}

	private void noteReport(long now, UpstreamId upstream, LoadReport report) {
		Long former = this.upstreamIncarnations.put(upstream, report.incarnation());
		if (former != null && former != report.incarnation()) {
			this.outbox.add(new Effect.Note(LogEvent.UPSTREAM_COLD, upstream.value()));
		}
		this.suspects.recordReport(now, upstream, report.incarnation(), now - report.ageMillis());
		boolean changed = report.leaving() ? this.leaving.add(upstream) : this.leaving.remove(upstream);
		if (changed) {
			if (report.leaving()) {
				this.outbox.add(new Effect.Note(LogEvent.UPSTREAM_LEAVING, upstream.value()));
			}
			rebuild(now);
		}
	}

	private void received(Event.MessageReceived event) {
		Sighting sighting = this.peers.heard(event.at(), event.from());
		if (sighting == Sighting.ENDED) {
			return;
		}
		if (sighting == Sighting.NEW) {
			this.claims.incarnationSeen(event.at(), event.from(), this.outbox);
			this.dispatch.peerSeen(event.at(), event.from(), this.outbox);
		}
		VmId from = event.from().vm();
		PeerMessage message = event.message();
		if (message instanceof PeerMessage.Heartbeat heartbeat) {
			this.dispatch.followed(event.at(), from, heartbeat.listRevision());
			compare(from, new Knowledge(heartbeat.controlVersion(), heartbeat.listRevision()));
		}
		else if (message instanceof PeerMessage.Fetch fetch) {
			relay(from, new Knowledge(fetch.controlVersion(), fetch.listRevision()));
		}
		else if (message instanceof PeerMessage.Control offered) {
			controlChanged(event.at(), this.control.offered(offered.state(), this.outbox));
		}
		else if (message instanceof PeerMessage.Members offered) {
			membersOffered(event.at(), offered);
		}
		else {
			forward(event);
		}
	}

	private void forward(Event.MessageReceived event) {
		PeerMessage message = event.message();
		if (message instanceof PeerMessage.Crash crash) {
			this.suspects.receiveCrash(event.at(), event.from(), crash);
		}
		else if (concernsClaims(message)) {
			this.claims.received(event.at(), event.from(), message, this.outbox);
		}
		else {
			if (message instanceof PeerMessage.Grant grant) {
				this.upstreamIncarnations.put(grant.upstream(), grant.upstreamIncarnation());
			}
			this.dispatch.received(event.at(), event.from(), message, this.outbox);
		}
	}

	private static boolean concernsClaims(PeerMessage message) {
		return message instanceof PeerMessage.ClaimQuery || message instanceof PeerMessage.ClaimStatus
				|| message instanceof PeerMessage.ClaimHandOver || message instanceof PeerMessage.ClaimsDeclined;
	}

	private void compare(VmId from, Knowledge theirs) {
		Knowledge ours = knowledge();
		if (theirs.exceeds(ours)) {
			this.outbox.add(new Effect.ToPeer(from, new PeerMessage.Fetch(ours.controlVersion(), ours.listRevision())));
		}
	}

	private void relay(VmId to, Knowledge theirs) {
		this.control.current()
			.filter((state) -> state.version() > theirs.controlVersion())
			.ifPresent((state) -> this.outbox.add(new Effect.ToPeer(to, new PeerMessage.Control(state))));
		this.members.list()
			.filter((list) -> list.revision() > theirs.listRevision())
			.ifPresent((list) -> this.outbox.add(new Effect.ToPeer(to, new PeerMessage.Members(list))));
	}

	private Knowledge knowledge() {
		return new Knowledge(this.control.version(), this.members.revision());
	}

	private void membersOffered(long now, PeerMessage.Members offered) {
		Set<VmId> before = this.members.vms();
		if (!this.members.offered(offered.list())) {
			return;
		}
		this.outbox.add(new Effect.Note(LogEvent.MEMBERS_CHANGED, Long.toString(this.members.revision())));
		Map<VmId, String> addresses = offered.list()
			.entries()
			.stream()
			.collect(Collectors.toMap(VmEntry::vm, VmEntry::address, (first, second) -> second));
		this.peers.listed(addresses, this.outbox);
		this.suspects.updatePeers(addresses.keySet()
			.stream()
			.filter((vm) -> !vm.equals(this.self.vm()))
			.collect(Collectors.toUnmodifiableSet()));
		before.stream()
			.filter((vm) -> !addresses.containsKey(vm))
			.forEach((vm) -> this.claims.vmLeft(now, vm, this.outbox));
		this.claims.writers(now, claimWriters(), this.outbox);
		rebuild(now);
	}

	private List<VmId> claimWriters() {
		DataCentreId dataCentre = this.topologies.dataCentre();
		List<VmId> routers = this.members.vms()
			.stream()
			.filter((vm) -> this.members.live(vm) && this.members.dataCentre(vm).equals(Optional.of(dataCentre)))
			.toList();
		return WriterOrder.ForRendezvousHash.INSTANCE.of(dataCentre, routers);
	}

	private void controlChanged(long now, boolean changed) {
		if (!changed) {
			return;
		}
		ControlState state = this.control.current().orElseThrow();
		Configuration configuration = this.control.configuration().orElseThrow();
		this.outbox.add(new Effect.Configure(state, configuration));
		this.recorder.inForce(state);
		rebuild(now);
	}

	private void rebuild(long now) {
		if (this.control.current().isEmpty() || this.members.list().isEmpty()) {
			return;
		}
		this.topology = this.topologies.build(this.control.configuration().orElseThrow(), this.control.current().get(),
				this.members, Set.copyOf(this.leaving));
		this.dispatch.topology(now, this.topology, this.outbox);
		this.outbox.add(new Effect.WatchUpstreams(watched()));
	}

	private Map<UpstreamId, String> watched() {
		return this.topology.configuration()
			.upstreams()
			.values()
			.stream()
			.filter((upstream) -> this.dispatch.owns(upstream.id()))
			.collect(Collectors.toMap(Upstream::id, Upstream::address));
	}

	private void logUnreachable(Event.LogUnreachable event) {
		if (this.unreachable.add(event.stream())) {
			this.outbox.add(new Effect.Note(LogEvent.LOG_UNREACHABLE, event.stream()));
		}
		if (event.stream().equals(CLAIMS_STREAM)) {
			this.claims.logUnreachable(event.at(), this.outbox);
		}
	}

	private void reachable(String stream) {
		if (this.unreachable.remove(stream)) {
			this.outbox.add(new Effect.Note(LogEvent.LOG_REACHABLE, stream));
		}
	}

	private List<Effect> settle(long now) {
		List<Effect> effects = this.outbox.drain();
		List<Effect> unsettled = effects;
		while (!unsettled.isEmpty()) {
			unsettled.forEach((effect) -> settle(now, effect));
			unsettled = this.outbox.drain();
			effects = join(effects, unsettled);
		}
		return effects;
	}

	private static List<Effect> join(List<Effect> first, List<Effect> second) {
		if (second.isEmpty()) {
			return first;
		}
		List<Effect> joined = new ArrayList<>(first);
		joined.addAll(second);
		return joined;
	}

	private void settle(long now, Effect effect) {
		if (effect instanceof Effect.Send send) {
			sending(now, send);
		}
		else if (effect instanceof Effect.Refuse refuse) {
			refused(now, refuse);
		}
		else if (effect instanceof Effect.Replay replay) {
			this.requests.remove(replay.request());
		}
	}

	private void sending(long now, Effect.Send send) {
		long incarnation = this.upstreamIncarnations.getOrDefault(send.upstream(), 0L);
		this.exchanges.put(send.request(), new Exchange(send.upstream(), incarnation));
		this.recorder.sent(this.topology, send);
		Request request = this.requests.get(send.request());
		if (request != null && request.key().isPresent()) {
			this.claims.sending(now, send.request());
		}
	}

	private void refused(long now, Effect.Refuse refuse) {
		Request request = this.requests.remove(refuse.request());
		if (request != null) {
			this.recorder.refused(request, refuse.refusal(), refuse.refusal().outcome() != Outcome.NOT_RUN);
		}
		if (request == null || request.key().isEmpty() || !this.dispatched.remove(refuse.request())) {
			return;
		}
		Ending ending = (refuse.refusal().outcome() != Outcome.NOT_RUN) ? Ending.BROKEN : Ending.NOT_SENT;
		this.claims.ended(now, refuse.request(), ending, Optional.empty(), this.outbox);
	}

	/**
	 * An exchange under way.
	 *
	 * @param upstream the upstream
	 * @param incarnation the incarnation of the upstream when the request was sent, 0 if
	 * it is not known
	 */
	private record Exchange(UpstreamId upstream, long incarnation) {

	}

	/**
	 * Passes requests whose claims hold on to dispatch.
	 */
	private final class Holding implements ClaimListener {

		@Override
		public void held(long now, Request request, Outbox effects) {
			Reducer.this.dispatched.add(request.id());
			Reducer.this.dispatch.enqueue(now, request, effects);
		}

		@Override
		public void suspended(long now, Request request, Outbox effects) {
			Reducer.this.dispatched.remove(request.id());
			Reducer.this.dispatch.withdraw(now, request.id(), effects);
		}

	}

}
