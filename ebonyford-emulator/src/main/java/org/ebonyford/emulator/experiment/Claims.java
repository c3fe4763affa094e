package org.ebonyford.emulator.experiment;

import java.util.List;

import org.HdrHistogram.Histogram;

import org.ebonyford.emulator.load.CallSpec;
import org.ebonyford.emulator.load.Load;
import org.ebonyford.emulator.load.Report;
import org.ebonyford.emulator.load.Verdict;
import org.ebonyford.emulator.platform.LogStandIn;
import org.ebonyford.emulator.site.Deployment;
import org.ebonyford.emulator.site.ReadyRouters;

/**
 * Measures what requests that may not be repeated cost: appends to the log and time.
 */
final class Claims implements Experiment {

	/**
	 * The name of the stream of claims.
	 */
	private static final String STREAM = "claims";

	/**
	 * The requests a second that are tried in turn.
	 */
	private static final List<Integer> RATES = List.of(20, 100, 300);

	/**
	 * The seed of the loads.
	 */
	private static final long SEED = 15;

	@Override
	public void run(Bench bench) {
		RATES.forEach((rate) -> measure(bench, rate));
	}

	private static void measure(Bench bench, int rate) {
		List<Deployment.Organisation> organisations = bench.deployment().organisations();
		try (Load load = new Load(SEED + rate); ReadyRouters balancer = new ReadyRouters(bench.site())) {
			load.rate(rate, balancer,
					(number) -> CallSpec
						.call(organisations.get((int) (number % organisations.size())), bench.services().name(),
								"/bookings", "b" + number)
						.once("rate-" + rate + "-" + number));
			load.rate(rate, balancer,
					(number) -> CallSpec.call(organisations.get((int) (number % organisations.size())),
							bench.services().name(), "/quotes", "q" + number));
			Bench.pause(3_000);
			long before = appends(bench);
			long start = System.nanoTime();
			Bench.pause(bench.seconds() * 1_000L);
			double appends = (appends(bench) - before) / ((System.nanoTime() - start) / 1e9);
			Report report = load.stop();
			recordRate(bench, rate, appends, report);
			bench.recordPromises(report);
		}
	}

	private static void recordRate(Bench bench, int rate, double appends, Report report) {
		Histogram once = report.latencies((verdict) -> verdict.spec().key().isPresent(), Verdict::totalNanos);
		Histogram plain = report.latencies((verdict) -> verdict.spec().key().isEmpty(), Verdict::totalNanos);
		String title = rate + " claims/s: ";
		bench.record(title + "appends", appends, "1/s");
		bench.record(title + "claims for each append", rate / appends, "");
		for (double percentile : new double[] { 50, 99 }) {
			double added = once.getValueAtPercentile(percentile) - plain.getValueAtPercentile(percentile);
			bench.record(title + "added to a call, p" + (int) percentile, added / 1e3, "ms");
		}
	}

	private static long appends(Bench bench) {
		LogStandIn.StreamTruth stream = bench.site().standIns().logTruth().streams().get(STREAM);
		return (stream != null) ? stream.end() : 0;
	}

}
