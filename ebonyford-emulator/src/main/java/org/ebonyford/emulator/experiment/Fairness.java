package org.ebonyford.emulator.experiment;

import java.util.ArrayList;
import java.util.DoubleSummaryStatistics;
import java.util.List;
import java.util.Map;

import org.ebonyford.emulator.load.Balancer;
import org.ebonyford.emulator.load.CallSpec;
import org.ebonyford.emulator.load.Load;
import org.ebonyford.emulator.load.Route;
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
	 * The seed of the load.
	 */
	private static final long SEED = 11;

	@Override
	public void run(Bench bench) {
		try (Load load = new Load(SEED)) {
			start(bench, load);
			bench.awaitWarm();
			Bench.pause(5_000);
			measure(bench);
			bench.recordPromises(load.stop());
		}
	}

	private static void start(Bench bench, Load load) {
		Deployment deployment = bench.deployment();
		for (int index = 0; index < deployment.organisations().size(); index++) {
			Deployment.Organisation organisation = deployment.organisations().get(index);
			String router = bench.site().router(index % deployment.routers()).callers();
			String other = bench.site().router((index * index + 1) % deployment.routers()).callers();
			Balancer balancer = new Balancer.OfAll(
					List.of(Route.throughRouter(router), Route.throughRouter(router), Route.throughRouter(other)));
			int open = (index == 1) ? FLOOD : backlog(bench, organisation);
			load.backlog(open, balancer, (number) -> CallSpec.chat(organisation, bench.engines().name(),
					"Question " + number + " of " + organisation.name(), number % 2 == 0));
		}
	}

	private static int backlog(Bench bench, Deployment.Organisation organisation) {
		int slots = bench.engines().size() * bench.engines().settings().warm();
		int weights = bench.deployment().organisations().stream().mapToInt((each) -> weight(bench, each)).sum();
		return BACKLOG_SHARES * (1 + slots * weight(bench, organisation) / weights);
	}

	private static void measure(Bench bench) {
		List<Map<String, Long>> readings = new ArrayList<>();
		List<Truth> before = bench.truths(bench.engines());
		for (int second = 0; second <= bench.seconds(); second++) {
			readings.add(bench.served());
			Bench.pause(1_000);
		}
		List<Truth> after = bench.truths(bench.engines());
		double busy = sum(after, true) - sum(before, true);
		bench.record("use of slots while work waits", 100 * busy / (sum(after, false) - sum(before, false)), "%");
		DoubleSummaryStatistics gaps = new DoubleSummaryStatistics();
		DoubleSummaryStatistics shares = new DoubleSummaryStatistics();
		for (int start = 0; start + WINDOW_SECONDS < readings.size(); start++) {
			DoubleSummaryStatistics services = services(bench, readings.get(start),
					readings.get(start + WINDOW_SECONDS));
			gaps.accept(services.getMax() - services.getMin());
			shares.accept(100 * (services.getMax() - services.getMin()) / services.getAverage());
		}
		bench.record("weighted gap in 10 s, largest", gaps.getMax(), "tokens");
		bench.record("weighted gap in 10 s, mean", gaps.getAverage(), "tokens");
		bench.record("weighted gap in 10 s, largest, of the mean service", shares.getMax(), "%");
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
