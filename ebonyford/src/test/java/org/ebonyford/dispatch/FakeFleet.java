package org.ebonyford.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BiConsumer;
import java.util.function.BiPredicate;
import java.util.function.IntFunction;
import java.util.function.LongConsumer;

import org.ebonyford.configuration.Configuration;
import org.ebonyford.configuration.Organisation;
import org.ebonyford.configuration.Plan;
import org.ebonyford.configuration.Pool;
import org.ebonyford.configuration.Upstream;
import org.ebonyford.effect.Effect;
import org.ebonyford.effect.Outbox;
import org.ebonyford.identity.DataCentreId;
import org.ebonyford.identity.Fingerprint;
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
import org.ebonyford.request.Request;
import org.ebonyford.topology.Topology;
import org.ebonyford.warmup.WarmUpPolicy;

/**
 * Delivers events, messages and exchanges with delays between several {@link Dispatch}
 * objects and fake engines, in simulated time.
 */
final class FakeFleet {

	static final PoolId POOL = new PoolId("llm");

	private static final DataCentreId[] CENTRES = { new DataCentreId("a"), new DataCentreId("b") };

	private static final long DETECTION_MILLIS = 500;

	/** The samples of 10 ms in 10 s. */
	private static final int WINDOW_SAMPLES = 1_000;

	final List<Router> routers = new ArrayList<>();

	final List<Engine> engines = new ArrayList<>();

	final Map<OrganisationId, Integer> weights = new TreeMap<>();

	final Map<OrganisationId, Long> served = new TreeMap<>();

	final Map<String, Integer> messages = new TreeMap<>();

	final List<Effect.Refuse> refusals = new ArrayList<>();

	long now;

	long requests;

	long listLag = 20;

	int leastCost = 50;

	int costRange = 300;

	/** The largest number of requests above what an engine bore. */
	int excess;

	/** The data centres that routers and engines take turns in. */
	int centres = 1;

	/** Whether all requests come in the name of one organisation. */
	boolean anonymous;

	/** Whether an engine goes on with a request whose router is gone. */
	boolean lingering;

	private final Random random;

	/** How the engines warm up in truth. */
	private final WarmUpPolicy truth = new WarmUpPolicy.ForCompletions(DispatchSettings.DEFAULT_COMPLETIONS_PER_STEP);

	private final IntFunction<DispatchSettings> settings;

	private final Pool pool;

	private final PriorityQueue<Timed> queue = new PriorityQueue<>(
			Comparator.comparingLong(Timed::at).thenComparingLong(Timed::sequence));

	private final Map<RequestId, Work> work = new HashMap<>();

	private final Set<List<Integer>> cuts = new HashSet<>();

	private final Map<List<Integer>, Long> links = new HashMap<>();

	private Set<VmId> listed = new TreeSet<>();

	private Set<UpstreamId> closed = Set.of();

	private long revision;

	private long sequence;

	FakeFleet(long seed, IntFunction<DispatchSettings> settings, Pool pool, int routers, int engines) {
		this.random = new Random(seed);
		this.settings = settings;
		this.pool = pool;
		for (int index = 0; index < engines; index++) {
			this.engines.add(new Engine(index));
		}
		for (int index = 0; index < routers; index++) {
			this.routers.add(new Router(index));
			this.listed.add(vm(index));
		}
	}

	static VmId vm(int index) {
		return new VmId("vm-" + index);
	}

	private DataCentreId centre(VmId vm) {
		return CENTRES[Integer.parseInt(vm.value().substring("vm-".length())) % this.centres];
	}

	static OrganisationId organisation(String name) {
		return new OrganisationId(name);
	}

	FakeFleet organisation(String name, int weight) {
		this.weights.put(organisation(name), weight);
		return this;
	}

	FakeFleet start() {
		this.routers.forEach(Router::start);
		this.engines.forEach(Engine::poll);
		return this;
	}

	void run(long millis) {
		run(millis, (at) -> {
		});
	}

	/** Runs for a while and calls an observer every 10 ms. */
	void run(long millis, LongConsumer observer) {
		long end = this.now + millis;
		for (long at = this.now; at < end; at += 10) {
			advance(at);
			observer.accept(at);
		}
		advance(end);
	}

	/** Lets requests of an organisation arrive at a router at a rate a second. */
	void arrivals(String organisation, int router, double rate, double hintFactor, long until) {
		long gap = Math.max(1, Math.round(-Math.log(1 - this.random.nextDouble()) * 1000 / rate));
		at(gap, () -> {
			if (this.now < until) {
				request(organisation, router, hintFactor);
				arrivals(organisation, router, rate, hintFactor, until);
			}
		});
	}

	void request(String organisation, int router, double hintFactor) {
		long cost = this.leastCost + this.random.nextInt(this.costRange);
		long hint = Math.max(1, Math.round(cost * hintFactor));
		Router entry = this.routers.get(router);
		RequestId id = new RequestId("r" + this.requests++);
		Work job = new Work(organisation(organisation), cost, entry, entry.generation);
		this.work.put(id, job);
		OrganisationId caller = this.anonymous ? organisation("all") : job.organisation;
		entry.event((dispatch, outbox) -> dispatch.enqueue(entry.clock(), new Request(id, caller, POOL,
				new RequestClass("chat"), hint, entry.clock() + 600_000, Optional.empty(), new Fingerprint("f")),
				outbox));
	}

	void cut(BiPredicate<Integer, Integer> severed) {
		pairs((one, other) -> {
			if (severed.test(one, other) && this.cuts.add(List.of(one, other))) {
				Router router = this.routers.get(one);
				at(DETECTION_MILLIS, () -> {
					if (this.cuts.contains(List.of(one, other))) {
						router.event((dispatch, outbox) -> dispatch.peerLost(router.clock(), vm(other), outbox));
					}
				});
			}
		});
	}

	void heal() {
		Set<List<Integer>> healed = new HashSet<>(this.cuts);
		this.cuts.clear();
		healed.forEach((pair) -> greet(this.routers.get(pair.get(0)), this.routers.get(pair.get(1))));
	}

	/** Takes engines out of service, which the routers see after a lag. */
	void close(Set<UpstreamId> engines) {
		this.closed = engines;
		this.routers.forEach(Router::readList);
	}

	/** Changes the platform's list, which the routers see after a lag. */
	void list(Set<Integer> vms) {
		this.listed = new TreeSet<>();
		vms.forEach((vm) -> this.listed.add(vm(vm)));
		this.revision++;
		this.routers.forEach(Router::readList);
	}

	/** Returns the share of all slots that are in use while time goes on. */
	double utilisation(long millis) {
		long[] used = new long[2];
		int slots = this.engines.size() * this.pool.warmLimit();
		run(millis, (at) -> {
			used[0] += running();
			used[1] += slots;
		});
		return (double) used[0] / used[1];
	}

	/** Returns the largest gap of virtual service over any 10 s while time goes on. */
	long gap(long millis, String... organisations) {
		List<long[]> history = new ArrayList<>();
		run(millis, (at) -> history.add(Arrays.stream(organisations).mapToLong(this::virtual).toArray()));
		long gap = 0;
		for (int from = 0; from < history.size(); from++) {
			int last = Math.min(from + WINDOW_SAMPLES, history.size() - 1);
			for (int to = from + 1; to <= last; to++) {
				gap = Math.max(gap, spread(history.get(from), history.get(to)));
			}
		}
		return gap;
	}

	private static long spread(long[] from, long[] to) {
		long least = Long.MAX_VALUE;
		long most = Long.MIN_VALUE;
		for (int index = 0; index < from.length; index++) {
			least = Math.min(least, to[index] - from[index]);
			most = Math.max(most, to[index] - from[index]);
		}
		return most - least;
	}

	/** Returns the slots that nobody can use at present. */
	int blocked() {
		return this.routers.stream()
			.filter((router) -> router.alive)
			.mapToInt((router) -> this.engines.stream().mapToInt((engine) -> router.dispatch.blocked(engine.id)).sum())
			.sum();
	}

	int running() {
		return this.engines.stream().mapToInt((engine) -> engine.running.size()).sum();
	}

	int queued() {
		return this.routers.stream().mapToInt((router) -> router.dispatch.queued()).sum();
	}

	long virtual(String name) {
		OrganisationId organisation = organisation(name);
		return this.served.getOrDefault(organisation, 0L) / this.weights.get(organisation);
	}

	private void follow(Router router, Router peer) {
		long version = router.revision;
		at(2, () -> {
			if (router.alive && !this.cuts.contains(List.of(router.index, peer.index))) {
				peer.event((dispatch, outbox) -> dispatch.followed(peer.clock(), vm(router.index), version));
			}
		});
	}

	private void greet(Router router, Router peer) {
		at(2, () -> router.event((dispatch, outbox) -> {
			if (peer.alive && !this.cuts.contains(List.of(router.index, peer.index))) {
				dispatch.peerSeen(router.clock(), peer.self(), outbox);
			}
		}));
	}

	private void pairs(BiConsumer<Integer, Integer> action) {
		for (Router one : this.routers) {
			for (Router other : this.routers) {
				if (one != other) {
					action.accept(one.index, other.index);
				}
			}
		}
	}

	private void at(long delay, Runnable action) {
		this.queue.add(new Timed(this.now + delay, this.sequence++, action));
	}

	private void advance(long until) {
		while (!this.queue.isEmpty() && this.queue.peek().at() <= until) {
			Timed next = this.queue.poll();
			this.now = next.at();
			next.action().run();
		}
		this.now = until;
	}

	private Configuration configuration() {
		Map<PlanId, Plan> plans = new HashMap<>();
		Map<OrganisationId, Organisation> organisations = new HashMap<>();
		this.weights.forEach((id, weight) -> {
			PlanId plan = new PlanId("plan-" + weight);
			plans.put(plan, new Plan(plan, weight, 1_000_000));
			organisations.put(id, new Organisation(id, plan, ""));
		});
		Map<UpstreamId, Upstream> upstreams = new HashMap<>();
		for (Engine engine : this.engines) {
			upstreams.put(engine.id, new Upstream(engine.id, POOL, CENTRES[engine.centre()], "address"));
		}
		return new Configuration(plans, organisations, Map.of(POOL, this.pool), upstreams, List.of());
	}

	private record Timed(long at, long sequence, Runnable action) {

	}

	private record Work(OrganisationId organisation, long cost, Router entry, int generation) {

	}

	final class Router {

		final int index;

		Dispatch dispatch;

		boolean alive;

		/** The milliseconds by which the router reads the list later than others. */
		long extraLag;

		private final Deque<BiConsumer<Dispatch, Outbox>> frozen = new ArrayDeque<>();

		private boolean freezing;

		private int generation;

		private long offset;

		private long revision = -1;

		private void beat(int current) {
			FakeFleet.this.routers.stream().filter((peer) -> peer != this).forEach((peer) -> follow(this, peer));
			at(200, () -> {
				if (this.alive && this.generation == current) {
					beat(current);
				}
			});
		}

		private Router(int index) {
			this.index = index;
		}

		long clock() {
			return FakeFleet.this.now + this.offset;
		}

		Incarnation self() {
			return new Incarnation(vm(this.index), this.generation);
		}

		void start() {
			this.alive = true;
			this.generation++;
			this.offset = FakeFleet.this.random.nextInt(1_000_000);
			this.frozen.clear();
			this.freezing = false;
			this.dispatch = new Dispatch(FakeFleet.this.settings.apply(this.index), self());
			readList();
			tick(this.generation);
			beat(this.generation);
			for (Router peer : FakeFleet.this.routers) {
				if (peer != this && peer.alive) {
					greet(this, peer);
					greet(peer, this);
				}
			}
		}

		void kill() {
			this.alive = false;
			this.dispatch = new Dispatch(FakeFleet.this.settings.apply(this.index), self());
			if (!FakeFleet.this.lingering) {
				FakeFleet.this.engines.forEach((engine) -> engine.disconnect(this));
			}
			for (Router peer : FakeFleet.this.routers) {
				if (peer != this && peer.alive) {
					at(DETECTION_MILLIS, () -> peer
						.event((dispatch, outbox) -> dispatch.peerLost(peer.clock(), vm(this.index), outbox)));
				}
			}
		}

		void freeze(long millis) {
			this.freezing = true;
			at(millis, () -> {
				this.freezing = false;
				event((dispatch, outbox) -> dispatch.resumed(clock(), outbox));
				readList();
				while (!this.frozen.isEmpty()) {
					event(this.frozen.poll());
				}
			});
		}

		void readList() {
			Set<VmId> list = FakeFleet.this.listed;
			long version = FakeFleet.this.revision;
			at(this.extraLag + 10 + (long) (FakeFleet.this.random.nextDouble() * FakeFleet.this.listLag), () -> {
				if (this.alive && version == FakeFleet.this.revision) {
					this.revision = version;
					event((dispatch, outbox) -> dispatch.topology(clock(), topology(list, version), outbox));
				}
			});
		}

		void event(BiConsumer<Dispatch, Outbox> action) {
			if (!this.alive) {
				return;
			}
			if (this.freezing) {
				this.frozen.add(action);
				return;
			}
			Outbox outbox = new Outbox();
			action.accept(this.dispatch, outbox);
			outbox.drain().forEach(this::perform);
		}

		private Topology topology(Set<VmId> list, long version) {
			Map<DataCentreId, java.util.SortedSet<VmId>> owners = new HashMap<>();
			list.forEach((vm) -> owners.computeIfAbsent(centre(vm), (absent) -> new TreeSet<>()).add(vm));
			return new Topology(vm(this.index), CENTRES[this.index % FakeFleet.this.centres], version, owners,
					new TreeSet<>(list), configuration(), FakeFleet.this.closed);
		}

		private void tick(int current) {
			at(10, () -> {
				if (this.alive && this.generation == current) {
					if (!this.freezing) {
						event((dispatch, outbox) -> dispatch.tick(clock(), outbox));
					}
					tick(current);
				}
			});
		}

		private void perform(Effect effect) {
			if (effect instanceof Effect.ToPeer message) {
				deliver(message);
			}
			else if (effect instanceof Effect.Send send) {
				send(send);
			}
			else if (effect instanceof Effect.Refuse refuse) {
				FakeFleet.this.refusals.add(refuse);
			}
		}

		private void deliver(Effect.ToPeer effect) {
			PeerMessage message = effect.message();
			FakeFleet.this.messages.merge(message.getClass().getSimpleName(), 1, Integer::sum);
			int target = Integer.parseInt(effect.to().value().substring("vm-".length()));
			List<Integer> link = List.of(this.index, target);
			long arrival = Math.max(FakeFleet.this.now + 1 + FakeFleet.this.random.nextInt(2),
					FakeFleet.this.links.getOrDefault(link, 0L));
			FakeFleet.this.links.put(link, arrival);
			Incarnation from = self();
			at(arrival - FakeFleet.this.now, () -> {
				Router peer = FakeFleet.this.routers.get(target);
				if (!FakeFleet.this.cuts.contains(link) && this.generation == from.number()) {
					peer.event((dispatch, outbox) -> dispatch.received(peer.clock(), from, message, outbox));
				}
			});
		}

		private void send(Effect.Send send) {
			Engine engine = FakeFleet.this.engines.get(Integer.parseInt(send.upstream().value().substring(1)));
			if (clock() > send.notAfter()) {
				finish(send.request(), Ending.NOT_SENT, 0);
				return;
			}
			int current = this.generation;
			at(1, () -> {
				if (this.generation == current && (this.alive || FakeFleet.this.lingering)) {
					engine.run(send.request(), this);
				}
			});
		}

		private void finish(RequestId request, Ending ending, long cost) {
			int current = this.generation;
			at(1, () -> {
				if (this.generation == current) {
					event((dispatch, outbox) -> dispatch.ended(clock(), request, ending, cost, false, outbox));
				}
			});
		}

	}

	final class Engine {

		final UpstreamId id;

		final Map<RequestId, Router> running = new HashMap<>();

		long completed;

		private final int index;

		private long incarnation = 1;

		private boolean down;

		private Engine(int index) {
			this.index = index;
			this.id = new UpstreamId("e" + index);
		}

		int centre() {
			return this.index % FakeFleet.this.centres;
		}

		/** Restarts the engine, which refuses connections for a while. */
		void restart(long millis) {
			Map<RequestId, Router> broken = new HashMap<>(this.running);
			this.running.clear();
			this.down = true;
			broken.forEach((request, router) -> router.finish(request, Ending.BROKEN, 0));
			at(millis, () -> {
				this.down = false;
				this.incarnation++;
				this.completed = 0;
			});
		}

		int bears() {
			return FakeFleet.this.truth.limit(FakeFleet.this.pool, this.completed);
		}

		private void run(RequestId request, Router router) {
			if (this.down) {
				router.finish(request, Ending.NOT_SENT, 0);
				return;
			}
			long current = this.incarnation;
			Work job = FakeFleet.this.work.get(request);
			this.running.put(request, router);
			FakeFleet.this.excess = Math.max(FakeFleet.this.excess, this.running.size() - bears());
			at(job.cost(), () -> {
				if (this.incarnation == current && this.running.remove(request) != null) {
					this.completed++;
					FakeFleet.this.served.merge(job.organisation(), job.cost(), Long::sum);
					router.finish(request, Ending.COMPLETED, job.cost());
				}
			});
		}

		private LoadReport aged(LoadReport report, long sampled) {
			return new LoadReport(report.incarnation(), report.running(), report.completed(),
					FakeFleet.this.now - sampled, report.leaving());
		}

		private void disconnect(Router router) {
			this.running.values().removeIf((owner) -> owner == router);
		}

		private void poll() {
			boolean answers = !this.down;
			LoadReport report = new LoadReport(this.incarnation, this.running.size(), this.completed, 0, false);
			long sampled = FakeFleet.this.now;
			for (Router router : FakeFleet.this.routers) {
				at(50 + FakeFleet.this.random.nextInt(50),
						() -> router.event((dispatch, outbox) -> dispatch.reported(router.clock(), this.id,
								answers ? Optional.of(aged(report, sampled)) : Optional.empty(), outbox)));
			}
			at(100, this::poll);
		}

	}

}
