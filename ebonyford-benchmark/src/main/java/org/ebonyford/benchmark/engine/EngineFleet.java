package org.ebonyford.benchmark.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.LongConsumer;
import java.util.stream.IntStream;

import org.ebonyford.directory.ReportInterval;
import org.ebonyford.directory.UpstreamEntry;
import org.ebonyford.lifecycle.AdaptiveRequestLimiter;
import org.ebonyford.lifecycle.EventLoopLag;
import org.ebonyford.lifecycle.OverloadWithdrawal;
import org.ebonyford.placement.AdmissionControl;
import org.ebonyford.placement.CapacityProbe;
import org.ebonyford.placement.CapacityProbes;
import org.ebonyford.placement.Choice;
import org.ebonyford.placement.ConnectionShare;
import org.ebonyford.placement.Load;
import org.ebonyford.placement.PaceObservation;
import org.ebonyford.placement.PaceTotals;
import org.ebonyford.placement.PlacementTerms;
import org.ebonyford.placement.ServicePace;
import org.ebonyford.placement.UpstreamState;
import org.ebonyford.placement.Work;
import org.ebonyford.share.OrganisationShares;
import org.ebonyford.share.ShareDecision;
import org.ebonyford.share.Usage;
import org.ebonyford.total.Totals;
import org.ebonyford.total.TotalsExchange;
import org.ebonyford.total.TotalsInterval;

/**
 * Plays a load on a model of engines and routers in simulated time: an engine reads one
 * prompt after the other, keeps the parts that it read, and runs a bounded number of
 * requests; routers know their own requests at once and those of others when these
 * report, at the pace of the product.
 */
public final class EngineFleet {

	/**
	 * The prompt tokens that an engine reads in a millisecond, as on the users' sheets.
	 */
	private static final double TOKENS_PER_MILLI = 100;

	/**
	 * The time in milliseconds from the end of reading to the first event.
	 */
	private static final long FIRST_MILLIS = 60;

	/**
	 * The time in milliseconds for a generated token at a usual batch.
	 */
	private static final double MILLIS_PER_OUTPUT_TOKEN = 9;

	/**
	 * The time in milliseconds until a transfer of memory begins.
	 */
	private static final double TRANSFER_SETUP_MILLIS = 5;

	/**
	 * The requests that an engine runs at once.
	 */
	private static final int SLOTS = 64;

	/**
	 * The tokens for which an engine has memory.
	 */
	private static final long MEMORY_TOKENS = 500_000;

	/**
	 * The longest pause of a stream that is on time, in milliseconds.
	 */
	private static final double PAUSE_MILLIS = 400;

	/**
	 * The time in milliseconds after which a caller leaves whose request is not read.
	 */
	private static final long UNREAD_MILLIS = 1_000;

	/**
	 * The time in milliseconds between two looks at what is to be sent to other routers.
	 */
	private static final int TICK_MILLIS = 100;

	/**
	 * The time in milliseconds by which routers differ that were started one after the
	 * other, so that they do not look together.
	 */
	private static final int STAGGER_MILLIS = 61;

	/**
	 * The time in milliseconds between two health checks of the balancer.
	 */
	private static final int CHECK_MILLIS = 1_000;

	/**
	 * The length of the windows in which the spread of requests is measured, in
	 * milliseconds.
	 */
	private static final long SPREAD_MILLIS = 200;

	/**
	 * The time in milliseconds that a message between routers takes.
	 */
	private static final long WIRE_MILLIS = 2;

	/**
	 * The number of data centres.
	 */
	private static final int DATA_CENTRES = 7;

	/**
	 * What the name of a router begins with.
	 */
	private static final String PREFIX = "router-";

	/**
	 * The hash of the engines' service.
	 */
	private static final int SERVICE = 1;

	/**
	 * What the routers decide by.
	 */
	private final Policy policy;

	/**
	 * The tokens a second that the engines are stated to make, 0 if nothing is stated.
	 */
	private final double statedPerSecond;

	/**
	 * What befalls the routers.
	 */
	private final RouterFaults faults;

	/**
	 * The connections that an engine accepts from all routers.
	 */
	private final int engineConnections;

	/**
	 * The pace of the engines.
	 */
	private EnginePaces enginePaces = EnginePaces.USUAL;

	/**
	 * The number of requests that each engine got in each fifth of a second.
	 */
	private final Map<Long, int[]> spread = new HashMap<>();

	/**
	 * The engines.
	 */
	private final List<Engine> engines = new ArrayList<>();

	/**
	 * The routers.
	 */
	private final List<Router> routers = new ArrayList<>();

	/**
	 * What happens, the earliest first.
	 */
	private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingLong(Event::at));

	/**
	 * The outcomes by organisation.
	 */
	private final Map<Integer, Outcome> outcomes = new HashMap<>();

	/**
	 * The shared tokens that were read again.
	 */
	private long rereadTokens;

	/**
	 * The lengths of the prompts that were asked for.
	 */
	private final List<Integer> asked = new ArrayList<>();

	/**
	 * The lengths of the prompts that were sent to an engine.
	 */
	private final List<Integer> sent = new ArrayList<>();

	/**
	 * The time in milliseconds for which the engine of each sent request already had
	 * prompts to prefill.
	 */
	private final List<Double> backlogs = new ArrayList<>();

	/**
	 * The limit on the prefill at an engine in milliseconds, 0 if there is none.
	 */
	private double prefillLimitMillis;

	/**
	 * What each organisation asked for and got, by second.
	 */
	private final Map<Integer, List<Second>> seconds = new HashMap<>();

	/**
	 * Creates a fleet that is idle and whose routers meet no faults.
	 * @param engineCount the number of engines
	 * @param routerCount the number of routers
	 * @param policy what the routers decide by
	 * @param statedPerSecond the tokens a second that the engines are stated to make, 0
	 * if nothing is stated
	 */
	public EngineFleet(int engineCount, int routerCount, Policy policy, double statedPerSecond) {
		this(engineCount, routerCount, policy, statedPerSecond, RouterFaults.NONE);
	}

	/**
	 * Creates a fleet that is idle.
	 * @param engineCount the number of engines
	 * @param routerCount the number of routers
	 * @param policy what the routers decide by
	 * @param statedPerSecond the tokens a second that the engines are stated to make, 0
	 * if nothing is stated
	 * @param faults what befalls the routers
	 */
	public EngineFleet(int engineCount, int routerCount, Policy policy, double statedPerSecond, RouterFaults faults) {
		this(engineCount, routerCount, policy, statedPerSecond, faults, Integer.MAX_VALUE);
	}

	/**
	 * Creates a fleet that is idle and whose engines accept a number of connections.
	 * @param engineCount the number of engines
	 * @param routerCount the number of routers
	 * @param policy what the routers decide by
	 * @param statedPerSecond the tokens a second that the engines are stated to make, 0
	 * if nothing is stated
	 * @param faults what befalls the routers
	 * @param engineConnections the connections that an engine accepts from all routers
	 */
	public EngineFleet(int engineCount, int routerCount, Policy policy, double statedPerSecond, RouterFaults faults,
			int engineConnections) {
		this.engineConnections = engineConnections;
		this.faults = faults;
		this.policy = policy;
		this.statedPerSecond = statedPerSecond;
		for (int index = 0; index < engineCount; index++) {
			this.engines.add(new Engine(index));
		}
		for (int index = 0; index < routerCount; index++) {
			this.routers.add(new Router(index));
		}
	}

	/**
	 * Limits the prompts that wait at an engine, so that its streams do not pause for too
	 * long.
	 * @return this fleet
	 */
	public EngineFleet limitPrefill() {
		this.prefillLimitMillis = AdmissionControl.prefillLimitMillis(PAUSE_MILLIS);
		return this;
	}

	/**
	 * Sets the pace of the engines.
	 * @param paces the pace, which is the usual one unless it is set
	 * @return this fleet
	 */
	public EngineFleet enginePaces(EnginePaces paces) {
		this.enginePaces = paces;
		return this;
	}

	/**
	 * Returns the part of the sent requests whose engine already had prompts to prefill
	 * for half of the longest pause, so that its streams were about to pause too long.
	 * @return the part, from 0 to 1
	 */
	public double sentToBusyEngines() {
		return (double) this.backlogs.stream().filter((backlog) -> backlog > PAUSE_MILLIS / 2).count()
				/ this.backlogs.size();
	}

	/**
	 * Returns how uneven the requests of a fifth of a second are spread over the engines.
	 * @return the mean over time of the largest number of an engine divided by the mean
	 * number
	 */
	public double peakToMean() {
		return this.spread.values()
			.stream()
			.mapToDouble((counts) -> IntStream.of(counts).max().orElse(0) / IntStream.of(counts).average().orElse(1))
			.average()
			.orElse(0);
	}

	/**
	 * Plays a load to its end.
	 * @param load the requests in the order of their arrival
	 * @return this fleet
	 */
	public EngineFleet play(List<Request> load) {
		load.forEach((request) -> this.events.add(new Event(request.at(), () -> arrive(request))));
		long end = load.get(load.size() - 1).at();
		long pause = ReportInterval.millis(this.routers.size());
		for (int index = 0; index < this.routers.size(); index++) {
			Router router = this.routers.get(index);
			for (long at = pause * (index + 1) / this.routers.size(); at < end; at += pause) {
				long now = at;
				this.events.add(new Event(now, () -> router.perform(now, (time) -> report(router, time))));
			}
			for (long at = index * STAGGER_MILLIS % (2 * TICK_MILLIS); at < end; at += TICK_MILLIS) {
				long now = at;
				this.events.add(new Event(now, () -> router.perform(now, (time) -> exchange(router, time))));
			}
			for (long at = index * STAGGER_MILLIS % CHECK_MILLIS; at < end; at += CHECK_MILLIS) {
				long now = at;
				this.events.add(new Event(now, () -> router.check(now)));
			}
			watch(router, 0, end);
			int number = index;
			this.faults.restartsAt(number)
				.forEach((at) -> this.events.add(new Event(at, () -> this.routers.get(number).restart())));
		}
		while (!this.events.isEmpty()) {
			this.events.poll().action().run();
		}
		return this;
	}

	/**
	 * Lets a router notice how late its timer runs, which is set anew each time.
	 * @param router the router
	 * @param at when the timer runs, in milliseconds
	 * @param end until when it is set anew, in milliseconds
	 */
	private void watch(Router router, long at, long end) {
		this.events.add(new Event(at, () -> router.perform(at, (now) -> {
			router.backlog.recordTick(now);
			router.intake.update(router.backlog.lagMillis(now), now);
			if (now < end) {
				watch(router, now + EventLoopLag.PERIOD_MILLIS, end);
			}
		})));
	}

	/**
	 * Returns what became of an organisation's requests.
	 * @param organisation the organisation
	 * @return the outcome
	 */
	public Outcome outcome(int organisation) {
		return this.outcomes.computeIfAbsent(organisation, (key) -> new Outcome());
	}

	/**
	 * Returns what an organisation asked for and got in a second.
	 * @param organisation the organisation
	 * @param second the number of the second, from 0 on
	 * @return the tokens and the refusals
	 */
	public Second second(int organisation, int second) {
		List<Second> own = this.seconds.getOrDefault(organisation, List.of());
		return (second < own.size()) ? own.get(second) : Second.NONE;
	}

	private void count(Request request, boolean taken) {
		List<Second> own = this.seconds.computeIfAbsent(request.organisation(), (key) -> new ArrayList<>());
		int second = (int) (request.at() / 1_000);
		while (own.size() <= second) {
			own.add(Second.NONE);
		}
		own.set(second, own.get(second).plus(request.work().shareTokens(), taken));
	}

	/**
	 * Returns the part of all requests whose answer began within the latency target.
	 * @return the part, from 0 to 1
	 */
	public double onTime() {
		double asked = this.outcomes.values().stream().mapToInt(Outcome::asked).sum();
		return this.outcomes.values().stream().mapToInt(Outcome::onTime).sum() / asked;
	}

	/**
	 * Returns the shared tokens that were read again though another engine kept them.
	 * @return the number of tokens
	 */
	public long rereadTokens() {
		return this.rereadTokens;
	}

	/**
	 * Returns the part of the requests with the longest prompts that were sent to an
	 * engine.
	 * @param part the part of all requests that counts as the longest
	 * @return the part of these that were sent
	 */
	public double longestSent(double part) {
		List<Integer> lengths = new ArrayList<>(this.asked);
		lengths.sort(Comparator.reverseOrder());
		int least = lengths.get((int) Math.min(lengths.size() * part, lengths.size() - 1));
		double longest = this.asked.stream().filter((length) -> length >= least).count();
		return this.sent.stream().filter((length) -> length >= least).count() / longest;
	}

	private void arrive(Request request) {
		this.asked.add(request.work().promptTokens());
		Router router = balanced(request);
		outcome(request.organisation()).hasAsked();
		router.perform(request.at(), (now) -> {
			boolean taken = handle(request, router, now);
			if (!taken) {
				outcome(request.organisation()).hasRefused();
			}
			count(request, taken);
			router.busyUntil += this.faults.millis(router.number, taken);
		});
	}

	/**
	 * Returns the router to which the balancer gives a request: the next one of the data
	 * centre if the first is not ready.
	 * @param request the request
	 * @return the router
	 */
	private Router balanced(Request request) {
		int size = this.routers.size();
		int first = request.router() % size;
		for (int number = first; number < first + size * DATA_CENTRES; number += DATA_CENTRES) {
			Router candidate = this.routers.get(number % size);
			if (candidate.inRotation && candidate.sameDataCentre(first)) {
				return candidate;
			}
		}
		return this.routers.get(first);
	}

	private boolean handle(Request request, Router router, long now) {
		router.now = now;
		boolean behind = router.backlog.lagging(now);
		if (now - request.at() > UNREAD_MILLIS) {
			return false;
		}
		long tokens = request.work().shareTokens();
		ShareDecision turn = router.shares.admit(request.organisation(), tokens, now);
		router.shares.recordRequested(request.organisation(), tokens, now);
		String organisation = Integer.toString(request.organisation());
		if (behind) {
			router.intake.update(router.backlog.lagMillis(now), now);
		}
		if (!router.intake.admit(organisation, now).admitted()) {
			return false;
		}
		double lately = router.shares.recentlyUsedShare(request.organisation(), now);
		CapacityProbe watch = router.watches.of(organisation, turn);
		if ((behind && !turn.admitted()) || (turn.limited() && !watch.due(lately, now))) {
			return false;
		}
		PlacementTerms terms = new PlacementTerms(
				AdmissionControl.firstByteLimitMillis(request.targetMillis(), lately, 10_000), lately,
				router.shares.usedShare(request.organisation(), now), PAUSE_MILLIS,
				router.shares.overserved(request.organisation(), now), turn)
			.withPrefillLimit(this.prefillLimitMillis);
		Optional<Choice> choice = this.policy.choose(new Policy.Scene(router.pace, request.work(), router.usable(now),
				terms, now, (state) -> engine(state).begins(request.work(), now)));
		boolean taken = choice.isPresent() && this.policy.takes(choice.get(), terms)
				&& !this.faults.turnsDown(router.number, now);
		if (turn.limited()) {
			watch.recordResult(taken, now);
		}
		if (taken) {
			router.intake.recordAdmitted(organisation, now);
			router.shares.recordServed(request.organisation(), tokens, now);
			send(request, router, choice.get(), now);
		}
		return taken;
	}

	private void send(Request request, Router router, Choice choice, long now) {
		this.sent.add(request.work().promptTokens());
		UpstreamState state = choice.upstream();
		Engine engine = engine(state);
		Load load = new Load(1, choice.prefillTokens(), request.work().memoryTokens());
		state.recordSent(load, now);
		this.backlogs.add(Math.max(engine.readUntil - now, 0));
		long first = engine.run(request.work(), choice.prefixSource().map(this::engine), now);
		long last = Math.round(
				this.enginePaces.end(engine.number, first, request.work().maxOutputTokens() * MILLIS_PER_OUTPUT_TOKEN));
		this.spread.computeIfAbsent(now / SPREAD_MILLIS, (key) -> new int[this.engines.size()])[engine.number]++;
		engine.ends.add(last);
		this.events.add(new Event(first, () -> router.perform(first, (at) -> {
			boolean inTime = router.backlog.negligible(at);
			if (this.enginePaces.reported()) {
				state.recordPace(new PaceObservation(this.enginePaces.factor(engine.number, first), at));
			}
			double pace = state.presentPace(at);
			router.pace.recordFirstByte(choice.queuedTokens() + choice.prefillTokens(), (at - now) / pace, inTime, at);
			if (inTime) {
				state.recordDuration((at - now) / pace / Math.max(choice.firstByteMillis(), 1), at);
			}
			state.prefixCache().add(request.work());
			state.removeLoad(new Load(0, choice.prefillTokens(), 0));
			outcome(request.organisation()).began(at - now <= request.targetMillis());
		})));
		this.events.add(new Event(last, () -> router.perform(last, (at) -> {
			router.pace.recordTotal(at - now);
			state.removeLoad(new Load(1, 0, request.work().memoryTokens()));
		})));
	}

	private Engine engine(UpstreamState state) {
		return this.engines.stream()
			.filter((candidate) -> candidate.name.equals(state.entry().id()))
			.findFirst()
			.orElseThrow();
	}

	private void report(Router sender, long now) {
		Map<Integer, Usage> usage = sender.shares.ownUsage(40, now);
		long until = now + ReportInterval.validMillis(this.routers.size());
		for (Router receiver : this.routers) {
			if (receiver != sender && this.faults.hears(receiver.number, sender.number, now)) {
				receiver.heardAt.put(sender.name, now);
				receiver.shares.updatePeer(sender.name, usage, now);
				receiver.pace.recordPeer(sender.name, sender.pace.own(now), until, now);
				receiver.states.forEach((name, state) -> {
					state.recordPeerLoad(sender.name, sender.states.get(name).ownLoad(), now);
					sender.states.get(name).paceUpdate(now).ifPresent(state::recordPace);
				});
			}
		}
	}

	private void exchange(Router router, long now) {
		int neighbours = router.heard(now).getOrDefault(Router.dataCentre(router.number), List.of()).size();
		router.relief.update(
				new OverloadWithdrawal.View(router.backlog.lagging(now), router.shares.demandRatio(now), neighbours),
				now);
		router.exchange.eligibleAsCollector(!router.relief.overloaded(now));
		if (TotalsInterval.enabled(this.routers.size())) {
			carry(router, router.exchange.tick(router.heard(now), router.totals(now), now), now);
		}
	}

	private void carry(Router sender, TotalsExchange.Result round, long now) {
		round.others().ifPresent((others) -> sender.others(others, now));
		round.envelopes().forEach((envelope) -> {
			Router receiver = this.routers.get(Integer.parseInt(envelope.receiver().substring(PREFIX.length())));
			if (this.faults.hears(receiver.number, sender.number, now)) {
				long at = now + WIRE_MILLIS;
				this.events.add(new Event(at, () -> receiver.perform(at, (time) -> {
					receiver.heardAt.put(sender.name, time);
					carry(receiver, receiver.exchange.receive(envelope.message(), time), time);
				})));
			}
		});
	}

	/**
	 * What an organisation asked for and got in a second.
	 *
	 * @param asked the tokens of all its requests
	 * @param taken the tokens of those that were sent to an engine
	 * @param refused the number of requests that were refused
	 */
	public record Second(long asked, long taken, int refused) {

		/**
		 * A second without requests.
		 */
		static final Second NONE = new Second(0, 0, 0);

		Second plus(long tokens, boolean sent) {
			return new Second(this.asked + tokens, this.taken + (sent ? tokens : 0), this.refused + (sent ? 0 : 1));
		}

	}

	/**
	 * Something that happens.
	 *
	 * @param at when, in milliseconds
	 * @param action what
	 */
	private record Event(long at, Runnable action) {
	}

	/**
	 * What a router knows.
	 */
	private final class Router {

		/**
		 * The number.
		 */
		private final int number;

		/**
		 * The name.
		 */
		private final String name;

		/**
		 * How fast the router believes engines to work.
		 */
		private ServicePace pace;

		/**
		 * The shares of organisations.
		 */
		private OrganisationShares shares;

		/**
		 * Whether engines lately took requests beyond shares.
		 */
		private CapacityProbes watches;

		/**
		 * The engines as the router knows them.
		 */
		private final Map<String, UpstreamState> states = new HashMap<>();

		/**
		 * The router's part in adding up what all do.
		 */
		private TotalsExchange exchange;

		/**
		 * When the other routers were heard, in milliseconds.
		 */
		private final Map<String, Long> heardAt = new HashMap<>();

		/**
		 * Whether the router reads requests late.
		 */
		private final EventLoopLag backlog = new EventLoopLag();

		/**
		 * How many requests the router takes.
		 */
		private final AdaptiveRequestLimiter intake = new AdaptiveRequestLimiter();

		/**
		 * Whether a crowd of callers is given to another router.
		 */
		private final OverloadWithdrawal relief = new OverloadWithdrawal();

		/**
		 * Whether the last health check was passed.
		 */
		private boolean checked = true;

		/**
		 * Whether the balancer gives the router new requests.
		 */
		private boolean inRotation = true;

		/**
		 * What the router has to do, in the order in which it came.
		 */
		private final Deque<LongConsumer> tasks = new ArrayDeque<>();

		/**
		 * Until when the router does something else, in milliseconds.
		 */
		private double busyUntil;

		/**
		 * When the router handled a request last, in milliseconds.
		 */
		private long now;

		Router(int number) {
			this.number = number;
			this.name = PREFIX + number;
			restart();
		}

		/**
		 * Returns the other routers that were heard lately.
		 * @param now the time in milliseconds
		 * @return their names by data centre
		 */
		Map<String, List<String>> heard(long now) {
			long lately = ReportInterval.validMillis(EngineFleet.this.routers.size());
			Map<String, List<String>> heard = new HashMap<>();
			this.heardAt.forEach((peer, at) -> {
				if (now - at <= lately) {
					String dataCentre = dataCentre(Integer.parseInt(peer.substring(PREFIX.length())));
					heard.computeIfAbsent(dataCentre, (key) -> new ArrayList<>()).add(peer);
				}
			});
			return heard;
		}

		/**
		 * Asks whether the router is ready. Two misses in a row take it out.
		 * @param now the time in milliseconds
		 */
		void check(long now) {
			boolean ready = !this.relief.withdrawn(now);
			this.inRotation = ready || (this.inRotation && this.checked);
			this.checked = ready;
		}

		boolean sameDataCentre(int other) {
			return dataCentre(this.number).equals(dataCentre(other));
		}

		private static String dataCentre(int number) {
			return "dc-" + number % DATA_CENTRES;
		}

		Totals totals(long now) {
			Map<Integer, Load> loads = new HashMap<>();
			Map<Integer, PaceObservation> statedPaces = new HashMap<>();
			this.states.values().forEach((state) -> {
				loads.put(state.shortHash(), state.ownLoad());
				state.paceUpdate(now).ifPresent((pace) -> statedPaces.put(state.shortHash(), pace));
			});
			return new Totals(1, now, loads, this.shares.ownUsage(40, now), Map.of(SERVICE, this.pace.own(now)),
					statedPaces);
		}

		/**
		 * Takes the totals of all others, unless the reports cover more of them.
		 * @param others the totals
		 * @param now the time in milliseconds
		 */
		void others(Totals others, long now) {
			int routers = EngineFleet.this.routers.size();
			long lately = ReportInterval.millis(routers) * 5 / 4;
			int heard = (int) this.heardAt.values().stream().filter((at) -> now - at <= lately).count();
			this.states.values()
				.forEach((state) -> Optional.ofNullable(others.statedPaces().get(state.shortHash()))
					.ifPresent(state::recordPace));
			if (others.covers(heard)) {
				long until = now + TotalsInterval.validMillis(routers / DATA_CENTRES);
				this.shares.updateOtherRouters(others.usages(), others.measuredAt(), until);
				this.pace.recordOthers(others.paces().getOrDefault(SERVICE, PaceTotals.NONE), until, now);
				this.states.values()
					.forEach((state) -> state.recordOtherLoad(others.loads().getOrDefault(state.shortHash(), Load.NONE),
							until));
			}
		}

		/**
		 * Does something as soon as all is done that came before.
		 * @param now the time in milliseconds
		 * @param task takes the time at which it is done
		 */
		void perform(long now, LongConsumer task) {
			if (this.tasks.isEmpty() && this.busyUntil <= now) {
				this.busyUntil = now;
				task.accept(now);
				return;
			}
			this.tasks.addLast(task);
			if (this.tasks.size() == 1) {
				continueLater();
			}
		}

		private void continueLater() {
			long at = (long) Math.ceil(this.busyUntil);
			EngineFleet.this.events.add(new Event(at, () -> {
				while (!this.tasks.isEmpty() && this.busyUntil <= at) {
					this.tasks.peekFirst().accept(at);
					this.tasks.removeFirst();
				}
				if (!this.tasks.isEmpty()) {
					continueLater();
				}
			}));
		}

		/**
		 * Returns the engines to which the router may make another connection.
		 * @param now the time in milliseconds
		 * @return the engines
		 */
		Collection<UpstreamState> usable(long now) {
			return this.states.values().stream().filter((state) -> connects(state, now)).toList();
		}

		private boolean connects(UpstreamState state, long now) {
			if (EngineFleet.this.faults.out(engine(state).number, now)) {
				return false;
			}
			int own = state.ownLoad().running();
			return own < ConnectionShare
				.of(EngineFleet.this.engineConnections, EngineFleet.this.routers.size(),
						state.totalLoad(now).running() - own)
				.maxOpen();
		}

		/**
		 * Begins anew, without anything that was known.
		 */
		void restart() {
			this.pace = new ServicePace();
			this.watches = new CapacityProbes();
			this.exchange = new TotalsExchange(this.name, dataCentre(this.number));
			this.shares = new OrganisationShares(4_000, () -> EngineFleet.this.statedPerSecond,
					() -> AdmissionControl.idleFraction(this.states.values(), this.pace, this.now),
					EngineFleet.this.routers::size, this.number + 1);
			for (Engine engine : EngineFleet.this.engines) {
				UpstreamEntry entry = new UpstreamEntry(engine.name, "s", "10.0.0.1", 80, "dc", SLOTS, false, 0, 1,
						"v1");
				this.states.put(engine.name,
						new UpstreamState(entry, () -> MEMORY_TOKENS, EngineFleet.this.routers::size, 0));
			}
		}

	}

	/**
	 * An engine.
	 */
	private final class Engine {

		/**
		 * The number.
		 */
		private final int number;

		/**
		 * The name.
		 */
		private final String name;

		/**
		 * The parts that the engine keeps, least recently used first.
		 */
		private final Map<Long, Integer> kept = new LinkedHashMap<>(16, 0.75f, true);

		/**
		 * When the running requests end, in milliseconds.
		 */
		private final PriorityQueue<Long> ends = new PriorityQueue<>();

		/**
		 * The tokens of the kept parts.
		 */
		private long keptTokens;

		/**
		 * When all prompts that were sent are read, in milliseconds.
		 */
		private double readUntil;

		Engine(int number) {
			this.number = number;
			this.name = "engine-" + number;
		}

		long run(Work work, Optional<Engine> source, long now) {
			double fetched = source.map((other) -> fetch(work, other)).orElse(0.0);
			while (!this.ends.isEmpty() && this.ends.peek() <= now) {
				this.ends.poll();
			}
			long start = now;
			if (this.ends.size() >= SLOTS) {
				start = Math.max(start, this.ends.poll());
			}
			EnginePaces paces = EngineFleet.this.enginePaces;
			this.readUntil = paces.end(this.number, Math.max(this.readUntil, start + fetched),
					read(work) / TOKENS_PER_MILLI);
			return (long) paces.end(this.number, this.readUntil, FIRST_MILLIS);
		}

		double begins(Work work, long now) {
			long full = (this.ends.size() >= SLOTS) ? Math.max(this.ends.peek() - now, 0) : 0;
			return Math.max(this.readUntil - now, full) + unread(work) / TOKENS_PER_MILLI + FIRST_MILLIS;
		}

		/**
		 * Fetches the shared parts that another engine keeps.
		 * @param work the work
		 * @param source the other engine
		 * @return the time in milliseconds that it takes
		 */
		private double fetch(Work work, Engine source) {
			int tokens = 0;
			for (int index = 0; index < work.sharedParts(); index++) {
				Integer size = source.kept.get(work.prefixHashes()[index]);
				if (size == null) {
					break;
				}
				if (this.kept.put(work.prefixHashes()[index], size) == null) {
					this.keptTokens += size;
					tokens += size;
				}
			}
			return (tokens == 0) ? 0 : TRANSFER_SETUP_MILLIS + tokens * Policy.TRANSFER_MILLIS;
		}

		private int unread(Work work) {
			int unread = work.promptTokens();
			for (int index = 0; index < work.prefixHashes().length
					&& this.kept.get(work.prefixHashes()[index]) != null; index++) {
				unread -= work.parts().get(index).tokens();
			}
			return unread;
		}

		private int read(Work work) {
			int unread = unread(work);
			int shared = work.sharedTokens();
			int missing = Math.max(unread - (work.promptTokens() - shared), 0);
			boolean elsewhere = EngineFleet.this.engines.stream()
				.anyMatch((engine) -> engine != this && engine.kept.containsKey(work.homeKey()));
			EngineFleet.this.rereadTokens += elsewhere ? missing : 0;
			for (int index = 0; index < work.prefixHashes().length; index++) {
				int tokens = work.parts().get(index).tokens();
				this.keptTokens += (this.kept.put(work.prefixHashes()[index], tokens) == null) ? tokens : 0;
			}
			var oldest = this.kept.values().iterator();
			while (this.keptTokens > MEMORY_TOKENS / 2 && oldest.hasNext()) {
				this.keptTokens -= oldest.next();
				oldest.remove();
			}
			return unread;
		}

	}

}
