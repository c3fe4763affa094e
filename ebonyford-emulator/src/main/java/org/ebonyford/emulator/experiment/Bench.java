package org.ebonyford.emulator.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.ebonyford.emulator.load.Audit;
import org.ebonyford.emulator.load.Report;
import org.ebonyford.emulator.load.Verdict;
import org.ebonyford.emulator.process.Await;
import org.ebonyford.emulator.site.Deployment;
import org.ebonyford.emulator.site.Site;
import org.ebonyford.emulator.truth.Truth;

/**
 * A running site on which one experiment is made, and the figures that it yields.
 */
final class Bench {

	/**
	 * The seconds that engines may take to get warm.
	 */
	private static final long WARM_SECONDS = 120;

	/**
	 * The name of the experiment.
	 */
	private final String experiment;

	/**
	 * The site.
	 */
	private final Site site;

	/**
	 * The seconds that the measured part takes.
	 */
	private final int seconds;

	/**
	 * The figures so far.
	 */
	private final List<Measurement> measurements = new ArrayList<>();

	Bench(String experiment, Site site, int seconds) {
		this.experiment = experiment;
		this.site = site;
		this.seconds = seconds;
	}

	/**
	 * Returns the site.
	 * @return the site
	 */
	Site site() {
		return this.site;
	}

	/**
	 * Returns the deployment of the site.
	 * @return the deployment
	 */
	Deployment deployment() {
		return this.site.deployment();
	}

	/**
	 * Returns the pool of model engines.
	 * @return the first pool of the deployment
	 */
	Deployment.Pool engines() {
		return deployment().pools().get(0);
	}

	/**
	 * Returns the pool of plain services.
	 * @return the second pool of the deployment
	 */
	Deployment.Pool services() {
		return deployment().pools().get(1);
	}

	/**
	 * Returns the seconds that the measured part takes.
	 * @return the seconds
	 */
	int seconds() {
		return this.seconds;
	}

	/**
	 * Returns the figures so far.
	 * @return the figures
	 */
	List<Measurement> measurements() {
		return List.copyOf(this.measurements);
	}

	/**
	 * Records a figure.
	 * @param quantity what was measured
	 * @param value the figure
	 * @param unit the unit of the figure
	 */
	void record(String quantity, double value, String unit) {
		this.measurements.add(new Measurement(deployment().name(), this.experiment, quantity, value, unit));
	}

	/**
	 * Records what callers and stand-ins say about the promises.
	 * @param report the report of the callers
	 */
	void recordPromises(Report report) {
		List<Truth> truths = deployment().upstreams()
			.stream()
			.map((upstream) -> this.site.standIns().detailedTruth(upstream.name()))
			.toList();
		Audit audit = Audit.of(report.verdicts(), truths);
		record("completed", report.count(Verdict.Result.COMPLETED), "requests");
		report.refusals().forEach((reason, count) -> record("refused " + reason, count, "requests"));
		record("broken", report.count(Verdict.Result.BROKEN), "requests");
		record("wrong answers", report.violations().size(), "requests");
		record("told not run but ran", audit.falseNotRun().size(), "requests");
		record("keys that ran twice", audit.repeatedKeys().size(), "requests");
		record("upstreams that fell over", audit.falls(), "falls");
	}

	/**
	 * Tells what really happened at a pool's upstreams.
	 * @param pool the pool
	 * @return the truths without single runs
	 */
	List<Truth> truths(Deployment.Pool pool) {
		return deployment().upstreams()
			.stream()
			.filter((upstream) -> upstream.pool().equals(pool))
			.map((upstream) -> this.site.standIns().truth(upstream.name()))
			.toList();
	}

	/**
	 * Waits until the engines bear all that they can and most of their slots are in use.
	 */
	void awaitWarm() {
		int slots = engines().size() * engines().settings().warm();
		Await.until("warm engines", WARM_SECONDS, () -> {
			List<Truth> truths = truths(engines());
			boolean warm = truths.stream().mapToInt(Truth::bears).sum() == slots;
			return warm && truths.stream().mapToInt(Truth::running).sum() >= 0.8 * slots;
		});
	}

	/**
	 * Returns the cost served to each organisation by all engines.
	 * @return the tokens by the names of the organisations
	 */
	Map<String, Long> served() {
		Map<String, Long> served = new TreeMap<>();
		truths(engines()).forEach(
				(truth) -> truth.served().forEach((organisation, cost) -> served.merge(organisation, cost, Long::sum)));
		return served;
	}

	/**
	 * Lets time pass.
	 * @param millis the milliseconds
	 */
	static void pause(long millis) {
		try {
			TimeUnit.MILLISECONDS.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
