package org.ebonyford.emulator.experiment;

import java.util.List;

import org.HdrHistogram.Histogram;

import org.ebonyford.emulator.load.CallSpec;
import org.ebonyford.emulator.load.Load;
import org.ebonyford.emulator.load.Report;
import org.ebonyford.emulator.load.Verdict;
import org.ebonyford.emulator.site.CommandResult;
import org.ebonyford.emulator.site.Deployment;
import org.ebonyford.emulator.site.ReadyRouters;
import org.ebonyford.emulator.truth.Run;
import org.ebonyford.emulator.truth.Truth;

/**
 * Measures the service while a data centre is taken out and brought back.
 */
final class Move implements Experiment {

	/**
	 * The share of the engines' slots that the load takes.
	 */
	private static final double LOAD_SHARE = 0.5;

	/**
	 * The mean seconds that a completion takes.
	 */
	private static final double COMPLETION_SECONDS = 0.5;

	/**
	 * The calls of services a second.
	 */
	private static final double CALLS = 50;

	/**
	 * The seed of the load.
	 */
	private static final long SEED = 14;

	@Override
	public void run(Bench bench) {
		String dataCentre = bench.deployment().dataCentres().get(1);
		try (Load load = new Load(SEED); ReadyRouters balancer = new ReadyRouters(bench.site())) {
			start(bench, load, balancer);
			Bench.pause(10_000);
			long begin = phase(bench);
			long out = command(bench, "out", dataCentre);
			phase(bench);
			long in = System.currentTimeMillis();
			command(bench, "in", dataCentre);
			phase(bench);
			long end = System.currentTimeMillis();
			Report report = load.stop();
			recordPhase(bench, "in service", report, begin, out);
			recordPhase(bench, "out", report, out, in);
			recordPhase(bench, "back", report, in, end);
			recordWork(bench, dataCentre, out, in);
			bench.recordPromises(report);
		}
	}

	private static void start(Bench bench, Load load, ReadyRouters balancer) {
		List<Deployment.Organisation> organisations = bench.deployment().organisations();
		int slots = bench.engines().size() * bench.engines().settings().warm();
		load.rate(LOAD_SHARE * slots / COMPLETION_SECONDS, balancer,
				(number) -> CallSpec.chat(organisations.get((int) (number % organisations.size())),
						bench.engines().name(), "Question " + number, number % 2 == 0));
		load.rate(CALLS, balancer,
				(number) -> CallSpec
					.call(organisations.get((int) (number % organisations.size())), bench.services().name(),
							"/bookings", "b" + number)
					.once("once-" + number));
	}

	private static long phase(Bench bench) {
		long begin = System.currentTimeMillis();
		Bench.pause(bench.seconds() * 1_000L);
		return begin;
	}

	private static long command(Bench bench, String direction, String dataCentre) {
		CommandResult result = bench.site().operate("dc", direction, dataCentre);
		if (result.exitCode() != 0) {
			throw new IllegalStateException(result.output());
		}
		return System.currentTimeMillis();
	}

	private static void recordPhase(Bench bench, String phase, Report report, long from, long until) {
		Report during = new Report(report.verdicts()
			.stream()
			.filter((verdict) -> verdict.startedAt() >= from && verdict.startedAt() < until)
			.toList());
		double seconds = (until - from) / 1e3;
		Histogram latencies = during.latencies((verdict) -> verdict.spec().kind() == CallSpec.Kind.CALL,
				Verdict::totalNanos);
		bench.record(phase + ": completed", during.count(Verdict.Result.COMPLETED) / seconds, "requests/s");
		bench.record(phase + ": refused", during.count(Verdict.Result.REFUSED), "requests");
		bench.record(phase + ": broken", during.count(Verdict.Result.BROKEN), "requests");
		bench.record(phase + ": bookings p50", latencies.getValueAtPercentile(50) / 1e3, "ms");
		bench.record(phase + ": bookings p99", latencies.getValueAtPercentile(99) / 1e3, "ms");
		bench.record(phase + ": longest time without a completion", report.longestSilence(from, until), "ms");
	}

	private static void recordWork(Bench bench, String dataCentre, long out, long in) {
		List<Run> runs = bench.deployment()
			.upstreams()
			.stream()
			.filter((upstream) -> upstream.dataCentre().equals(dataCentre))
			.map((upstream) -> bench.site().standIns().detailedTruth(upstream.name()))
			.flatMap((Truth truth) -> truth.runs().stream())
			.toList();
		long last = runs.stream().mapToLong(Run::startedAt).filter((at) -> at < in).max().orElse(0);
		long first = runs.stream().mapToLong(Run::startedAt).filter((at) -> at >= in).min().orElse(in);
		bench.record("last new work in the data centre after it was taken out", Math.max(0, last - out), "ms");
		bench.record("first new work in the data centre after it was brought back", first - in, "ms");
		bench.record("work cut in the data centre",
				runs.stream().filter((run) -> run.ending() == Run.Ending.CANCELLED).count(), "runs");
	}

}
