package org.ebonyford.emulator.experiment;

import java.util.List;

import org.HdrHistogram.Histogram;

import org.ebonyford.emulator.load.Balancer;
import org.ebonyford.emulator.load.CallSpec;
import org.ebonyford.emulator.load.Load;
import org.ebonyford.emulator.load.Report;
import org.ebonyford.emulator.load.Route;
import org.ebonyford.emulator.load.Verdict;
import org.ebonyford.emulator.site.Deployment;
import org.ebonyford.emulator.site.Site;

/**
 * Measures the latency of small calls through a router beside that of direct calls, in
 * turns.
 */
final class Latency implements Experiment {

	/**
	 * The calls a second.
	 */
	private static final int RATE = 1_000;

	/**
	 * The microseconds of a millisecond.
	 */
	private static final double MICROS = 1_000;

	/**
	 * The seed of the loads.
	 */
	private static final long SEED = 13;

	@Override
	public Site.Builder site(Deployment deployment) {
		Deployment.Pool engines = deployment.pools().get(0);
		Deployment.Pool services = deployment.pools().get(1);
		return Site.of(deployment.withPools(engines, services.with((settings) -> settings.costs(1, 2))));
	}

	@Override
	public void run(Bench bench) {
		List<Route> direct = bench.deployment()
			.upstreams()
			.stream()
			.filter((upstream) -> upstream.pool().equals(bench.services()))
			.map((upstream) -> Route.direct(bench.site().standIns().address(upstream.name())))
			.toList();
		List<Route> routed = bench.site()
			.routers()
			.stream()
			.map((router) -> Route.throughRouter(router.callers()))
			.toList();
		bench.deployment()
			.upstreams()
			.stream()
			.filter((upstream) -> upstream.pool().equals(bench.services()))
			.forEach((upstream) -> bench.site().standIns().order(upstream.name(), "warm"));
		calls(bench, "warming up", routed, RATE / 4);
		calls(bench, "warming up", routed, RATE);
		Histogram without = calls(bench, "direct", direct, RATE);
		Histogram with = calls(bench, "through routers", routed, RATE);
		for (double percentile : new double[] { 50, 90, 99 }) {
			double own = without.getValueAtPercentile(percentile) / MICROS;
			double whole = with.getValueAtPercentile(percentile) / MICROS;
			bench.record("direct call, p" + (int) percentile, own, "ms");
			bench.record("call through a router, p" + (int) percentile, whole, "ms");
			bench.record("added by a router, p" + (int) percentile, whole - own, "ms");
		}
	}

	private static Histogram calls(Bench bench, String way, List<Route> routes, int rate) {
		try (Load load = new Load(SEED)) {
			load.rate(rate, new Balancer.OfAll(routes), (number) -> CallSpec.call(
					bench.deployment().organisations().get((int) (number % bench.deployment().organisations().size())),
					bench.services().name(), "/quotes", "q" + number));
			Bench.pause(bench.seconds() * 1_000L);
			Report report = load.stop();
			bench.record(way + ": completed of " + report.verdicts().size(), report.count(Verdict.Result.COMPLETED),
					"calls");
			return report.latencies((verdict) -> true, Verdict::totalNanos);
		}
	}

}
