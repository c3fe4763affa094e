package org.ebonyford.emulator.experiment;

import java.util.ArrayList;
import java.util.DoubleSummaryStatistics;
import java.util.List;
import java.util.Map;
import java.util.function.IntFunction;
import java.util.stream.Collectors;

import org.ebonyford.emulator.load.CallSpec;
import org.ebonyford.emulator.load.CheckingClient;
import org.ebonyford.emulator.load.Load;
import org.ebonyford.emulator.load.NaiveQueue;
import org.ebonyford.emulator.load.Report;
import org.ebonyford.emulator.load.Route;
import org.ebonyford.emulator.load.Sender;
import org.ebonyford.emulator.load.Verdict;
import org.ebonyford.emulator.site.Deployment;
import org.ebonyford.emulator.truth.Truth;

/**
 * Measures the weighted service gap between backlogged organisations and the use of slots
 * while work waits. Each organisation sends through two routers only, one floods, and no
 * request tells its cost.
 */
final class Fairness implements Experiment {

	/**
	 * The seconds of a window in which gaps are measured.
	 */
	private static final int WINDOW_SECONDS = 10;

	/**
	 * The open requests of the organisation that floods.
	 */
	private static final int FLOOD = 300;

	/**
	 * The open requests of an organisation, as a multiple of the slots that are its
	 * share.
	 */
	private static final int BACKLOG_SHARES = 4;

	/**
	 * The milliseconds that a fleet gets to settle before it is measured.
	 */
	private static final long SETTLE_MILLIS = 5_000;

	/**
	 * The seed of the load.
	 */
	private static final long SEED = 11;

	@Override
	public void run(Bench bench) {
		bench.deployment()
			.upstreams()
			.stream()
			.filter((upstream) -> upstream.pool().equals(bench.engines()))
			.forEach((upstream) -> bench.site().standIns().order(upstream.name(), "warm"));
		List<Verdict> verdicts = new ArrayList<>();
		try (CheckingClient client = new CheckingClient()) {
			NaiveQueue global = new NaiveQueue(client, weights(bench), slots(bench));
			verdicts.addAll(measure(bench, "one global queue", (index) -> global));
			List<NaiveQueue> independent = NaiveQueue.deal(slots(bench), bench.deployment().routers())
				.stream()
				.map((slots) -> new NaiveQueue(client, weights(bench), slots))
				.toList();
			verdicts.addAll(measure(bench, "independent routers", independent::get));
			verdicts.addAll(measure(bench, "ebonyford", (index) -> {
				Route route = Route.throughRouter(bench.site().router(index).callers());
				return (ignored, spec) -> client.send(route, spec);
			}));
		}
		bench.recordPromises(new Report(verdicts));
	}

	private static List<Verdict> measure(Bench bench, String fleet, IntFunction<Sender> routers) {
		try (Load load = new Load(SEED)) {
			start(bench, load, routers);
			bench.awaitWarm();
			Bench.pause(SETTLE_MILLIS);
			record(bench, fleet);
			return load.stop().verdicts();
		}
	}

	/**
	 * Starts the backlogs. Each organisation sends two of three requests to one router
	 * and the third to another.
	 * @param bench the site
	 * @param load the load
	 * @param routers the routers by their numbers
	 */
	private static void start(Bench bench, Load load, IntFunction<Sender> routers) {
		Deployment deployment = bench.deployment();
		for (int index = 0; index < deployment.organisations().size(); index++) {
			Deployment.Organisation organisation = deployment.organisations().get(index);
			Sender near = routers.apply(index % deployment.routers());
			Sender far = routers.apply((index * index + 1) % deployment.routers());
			int open = (index == 1) ? FLOOD : backlog(bench, organisation);
			load.backlogThrough(open, (spec) -> ((spec.text().hashCode() % 3 == 0) ? far : near).send(null, spec),
					(number) -> CallSpec.chat(organisation, bench.engines().name(),
							"Question " + number + " of " + organisation.name(), number % 2 == 0));
		}
	}

	private static Map<String, Integer> weights(Bench bench) {
		return bench.deployment()
			.organisations()
			.stream()
			.collect(Collectors.toMap(Deployment.Organisation::name, (organisation) -> weight(bench, organisation)));
	}

	/**
	 * Returns the slots of all engines in an order in which neighbours belong to
	 * different engines.
	 * @param bench the site
	 * @return a route for each slot
	 */
	private static List<Route> slots(Bench bench) {
		List<Route> slots = new ArrayList<>();
		for (int slot = 0; slot < bench.engines().settings().warm(); slot++) {
			bench.deployment()
				.upstreams()
				.stream()
				.filter((upstream) -> upstream.pool().equals(bench.engines()))
				.map((upstream) -> Route.direct(bench.site().standIns().address(upstream.name())))
				.forEach(slots::add);
		}
		return slots;
	}

	private static int backlog(Bench bench, Deployment.Organisation organisation) {
		int slots = bench.engines().size() * bench.engines().settings().warm();
		int weights = bench.deployment().organisations().stream().mapToInt((each) -> weight(bench, each)).sum();
		return BACKLOG_SHARES * (1 + slots * weight(bench, organisation) / weights);
	}

	private static void record(Bench bench, String fleet) {
		List<Map<String, Long>> readings = new ArrayList<>();
		List<Truth> before = bench.truths(bench.engines());
		for (int second = 0; second <= bench.seconds(); second++) {
			readings.add(bench.served());
			Bench.pause(1_000);
		}
		List<Truth> after = bench.truths(bench.engines());
		double busy = sum(after, true) - sum(before, true);
		bench.record(fleet + ": use of slots while work waits", 100 * busy / (sum(after, false) - sum(before, false)),
				"%");
		DoubleSummaryStatistics gaps = new DoubleSummaryStatistics();
		DoubleSummaryStatistics shares = new DoubleSummaryStatistics();
		for (int start = 0; start + WINDOW_SECONDS < readings.size(); start++) {
			DoubleSummaryStatistics services = services(bench, readings.get(start),
					readings.get(start + WINDOW_SECONDS));
			gaps.accept(services.getMax() - services.getMin());
			shares.accept(100 * (services.getMax() - services.getMin()) / services.getAverage());
		}
		bench.record(fleet + ": weighted gap in 10 s, largest", gaps.getMax(), "tokens");
		bench.record(fleet + ": weighted gap in 10 s, mean", gaps.getAverage(), "tokens");
		bench.record(fleet + ": weighted gap in 10 s, largest, of the mean service", shares.getMax(), "%");
	}

	private static DoubleSummaryStatistics services(Bench bench, Map<String, Long> from, Map<String, Long> to) {
		return bench.deployment()
			.organisations()
			.stream()
			.mapToDouble((organisation) -> (double) (to.getOrDefault(organisation.name(), 0L)
					- from.getOrDefault(organisation.name(), 0L)) / weight(bench, organisation))
			.summaryStatistics();
	}

	private static double sum(List<Truth> truths, boolean busy) {
		return truths.stream().mapToDouble((truth) -> busy ? truth.busySlotMillis() : truth.borneSlotMillis()).sum();
	}

	private static int weight(Bench bench, Deployment.Organisation organisation) {
		return bench.deployment()
			.plans()
			.stream()
			.filter((plan) -> plan.name().equals(organisation.plan()))
			.mapToInt(Deployment.Plan::weight)
			.findFirst()
			.orElse(1);
	}

}
