package org.ebonyford.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;

import org.ebonyford.directory.UpstreamEntry;
import org.ebonyford.share.OrganisationShares;
import org.ebonyford.share.Usage;

/**
 * Plays a load on a model of engines and routers in simulated time: an engine reads one
 * prompt after the other, keeps the parts that it read, and runs a bounded number of
 * requests; routers know their own requests at once and those of others with a delay.
 */
final class EngineFleet {

	private static final double TOKENS_PER_MILLI = 100;

	private static final long FIRST_MILLIS = 60;

	private static final double MILLIS_PER_OUTPUT_TOKEN = 9;

	private static final int SLOTS = 64;

	private static final long MEMORY_TOKENS = 500_000;

	private static final long REPORT_MILLIS = 200;

	private final Policy policy;

	private final List<Engine> engines = new ArrayList<>();

	private final List<Router> routers = new ArrayList<>();

	private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingLong(Event::at));

	private final Map<Integer, Outcome> outcomes = new HashMap<>();

	private long rereadTokens;

	EngineFleet(int engineCount, int routerCount, Policy policy) {
		this.policy = policy;
		for (int index = 0; index < engineCount; index++) {
			this.engines.add(new Engine("engine-" + index));
		}
		for (int index = 0; index < routerCount; index++) {
			this.routers.add(new Router("router-" + index));
		}
	}

	EngineFleet play(List<Request> load) {
		load.forEach((request) -> this.events.add(new Event(request.at(), () -> arrive(request))));
		long end = load.get(load.size() - 1).at();
		for (long at = REPORT_MILLIS; at < end; at += REPORT_MILLIS) {
			long now = at;
			this.events.add(new Event(now, () -> report(now)));
		}
		while (!this.events.isEmpty()) {
			this.events.poll().action().run();
		}
		return this;
	}

	Outcome outcome(int organisation) {
		return this.outcomes.computeIfAbsent(organisation, (key) -> new Outcome());
	}

	double onTime() {
		double asked = this.outcomes.values().stream().mapToInt((outcome) -> outcome.asked).sum();
		return this.outcomes.values().stream().mapToInt((outcome) -> outcome.onTime).sum() / asked;
	}

	long rereadTokens() {
		return this.rereadTokens;
	}

	private void arrive(Request request) {
		Router router = this.routers.get(request.router() % this.routers.size());
		Outcome outcome = outcome(request.organisation());
		outcome.asked++;
		long now = request.at();
		long tokens = request.work().shareTokens();
		router.shares.asked(request.organisation(), tokens, now);
		double used = router.shares.used(request.organisation(), now);
		double limit = Admission.limitMillis(request.targetMillis(), used, 10_000);
		Optional<Choice> choice = this.policy.choose(router.pace, request.work(), router.states.values(),
				new Terms(limit, used <= 1), now);
		if (choice.isEmpty() || !this.policy.takes(choice.get(), limit)) {
			outcome.refused++;
			return;
		}
		router.shares.served(request.organisation(), tokens, now);
		send(request, router, choice.get(), now);
	}

	private void send(Request request, Router router, Choice choice, long now) {
		UpstreamState state = choice.upstream();
		Engine engine = this.engines.stream()
			.filter((candidate) -> candidate.name.equals(state.entry().id()))
			.findFirst()
			.orElseThrow();
		Load load = new Load(1, choice.unread(), request.work().memoryTokens());
		state.sent(load, now);
		long first = engine.run(request.work(), now);
		long last = first + Math.round(request.work().outputTokens() * MILLIS_PER_OUTPUT_TOKEN);
		engine.ends.add(last);
		this.events.add(new Event(first, () -> {
			router.pace.first(choice.ahead() + choice.unread(), first - now);
			state.parts().read(request.work());
			state.relieved(new Load(0, choice.unread(), 0));
			outcome(request.organisation()).began(first - now <= request.targetMillis());
		}));
		this.events.add(new Event(last, () -> {
			router.pace.whole(last - now);
			state.relieved(new Load(1, 0, request.work().memoryTokens()));
		}));
	}

	private void report(long now) {
		for (Router sender : this.routers) {
			Map<Integer, Usage> usage = sender.shares.own(40, now);
			for (Router receiver : this.routers) {
				if (receiver != sender) {
					receiver.shares.peer(sender.name, usage, now);
					receiver.states
						.forEach((name, state) -> state.peer(sender.name, sender.states.get(name).own(), now));
				}
			}
		}
	}

	/**
	 * Decides where a request goes and whether it is taken.
	 */
	interface Policy {

		Optional<Choice> choose(ServicePace pace, Work work, Collection<UpstreamState> candidates, Terms terms,
				long now);

		boolean takes(Choice choice, double limitMillis);

		/**
		 * The product's decisions.
		 */
		enum Product implements Policy {

			INSTANCE;

			@Override
			public Optional<Choice> choose(ServicePace pace, Work work, Collection<UpstreamState> candidates,
					Terms terms, long now) {
				return new Placement.ForEngines("dc", pace).choose(work, candidates, terms, now);
			}

			@Override
			public boolean takes(Choice choice, double limitMillis) {
				return Admission.takes(choice, limitMillis);
			}

		}

		/**
		 * The engine with the fewest requests, and nothing is refused.
		 */
		enum FewestRequests implements Policy {

			INSTANCE;

			@Override
			public Optional<Choice> choose(ServicePace pace, Work work, Collection<UpstreamState> candidates,
					Terms terms, long now) {
				return candidates.stream()
					.min(Comparator.comparingInt((UpstreamState state) -> state.total(now).running()))
					.map((state) -> new Choice(state, 0, 0, work.promptTokens(), 0, false));
			}

			@Override
			public boolean takes(Choice choice, double limitMillis) {
				return true;
			}

		}

	}

	/**
	 * A request of the load.
	 */
	record Request(long at, int router, int organisation, Work work, double targetMillis) {

		/**
		 * Draws requests whose prompts share a subject.
		 */
		static List<Request> draw(long seed, long millis, double perSecond, int[] organisations, int subjects) {
			Random random = new Random(seed);
			List<Request> load = new ArrayList<>();
			double at = 0;
			while (at < millis) {
				at += -Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
				int own = (int) Math.min(400 + random.nextDouble() * 6_000, 6_000);
				int subject = random.nextInt(subjects);
				Work work = Work.of(List.of(new PromptPart(subject % 3, 500), new PromptPart(100 + subject, 4_900),
						new PromptPart(random.nextLong(), own)), 5_400 + own, 200 + random.nextInt(200));
				load.add(new Request((long) at, random.nextInt(100),
						organisations[random.nextInt(organisations.length)], work, 600));
			}
			return load;
		}

	}

	/**
	 * What became of an organisation's requests.
	 */
	static final class Outcome {

		private int asked;

		private int refused;

		private int begun;

		private int onTime;

		int asked() {
			return this.asked;
		}

		int refused() {
			return this.refused;
		}

		int begun() {
			return this.begun;
		}

		int onTime() {
			return this.onTime;
		}

		private void began(boolean inTime) {
			this.begun++;
			this.onTime += inTime ? 1 : 0;
		}

	}

	private record Event(long at, Runnable action) {
	}

	/**
	 * What a router knows.
	 */
	private final class Router {

		private final String name;

		private final ServicePace pace = new ServicePace();

		private final OrganisationShares shares = new OrganisationShares(4_000);

		private final Map<String, UpstreamState> states = new HashMap<>();

		Router(String name) {
			this.name = name;
			for (Engine engine : EngineFleet.this.engines) {
				UpstreamEntry entry = new UpstreamEntry(engine.name, "s", "10.0.0.1", 80, "dc", SLOTS, false, 0, 1);
				this.states.put(engine.name,
						new UpstreamState(entry, () -> MEMORY_TOKENS, EngineFleet.this.routers::size, 0));
			}
		}

	}

	/**
	 * An engine.
	 */
	private final class Engine {

		private final String name;

		private final Map<Long, Integer> kept = new LinkedHashMap<>(16, 0.75f, true);

		private final PriorityQueue<Long> ends = new PriorityQueue<>();

		private long keptTokens;

		private double readUntil;

		Engine(String name) {
			this.name = name;
		}

		long run(Work work, long now) {
			while (!this.ends.isEmpty() && this.ends.peek() <= now) {
				this.ends.poll();
			}
			long start = now;
			if (this.ends.size() >= SLOTS) {
				start = Math.max(start, this.ends.poll());
			}
			this.readUntil = Math.max(this.readUntil, start) + read(work) / TOKENS_PER_MILLI;
			return (long) this.readUntil + FIRST_MILLIS;
		}

		private int read(Work work) {
			int unread = work.promptTokens();
			for (int index = 0; index < work.chain().length && this.kept.get(work.chain()[index]) != null; index++) {
				unread -= work.parts().get(index).tokens();
			}
			int shared = work.sharedTokens();
			int missing = Math.max(unread - (work.promptTokens() - shared), 0);
			boolean elsewhere = EngineFleet.this.engines.stream()
				.anyMatch((engine) -> engine != this && engine.kept.containsKey(work.homeKey()));
			EngineFleet.this.rereadTokens += elsewhere ? missing : 0;
			for (int index = 0; index < work.chain().length; index++) {
				int tokens = work.parts().get(index).tokens();
				this.keptTokens += (this.kept.put(work.chain()[index], tokens) == null) ? tokens : 0;
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
