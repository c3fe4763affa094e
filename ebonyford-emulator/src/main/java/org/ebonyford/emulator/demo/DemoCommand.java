package org.ebonyford.emulator.demo;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;

import org.ebonyford.emulator.load.Audit;
import org.ebonyford.emulator.load.CallSpec;
import org.ebonyford.emulator.load.CheckingClient;
import org.ebonyford.emulator.load.Route;
import org.ebonyford.emulator.load.Verdict;
import org.ebonyford.emulator.site.Deployment;
import org.ebonyford.emulator.site.Router;
import org.ebonyford.emulator.site.Site;
import org.ebonyford.emulator.truth.Run;
import org.ebonyford.emulator.truth.Truth;

/**
 * Starts stand-ins and three routers in two data centres, sends requests of both
 * deployments' kinds and shows what became of them.
 */
@Command(name = "demo", description = "Shows the whole path with three routers in two data centres")
public final class DemoCommand implements Runnable {

	/**
	 * The organisation that books sitters.
	 */
	private static final Deployment.Organisation PAWS = new Deployment.Organisation("dalagul-paws", "large");

	/**
	 * The organisation that files snow reports.
	 */
	private static final Deployment.Organisation SNOW = new Deployment.Organisation("lumitieto-levi", "small");

	/**
	 * What the demonstration runs.
	 */
	private static final Deployment DEPLOYMENT = Deployment.dalagul()
		.withDataCentres("kz-south-a", "kz-south-b")
		.withRouters(3)
		.withPools(Deployment.Pool.engines("llm", 2), Deployment.Pool.services("booking-core", 2),
				Deployment.Pool.engines("kieli", 2), Deployment.Pool.services("raportti", 2))
		.withCustomers(List.of(new Deployment.Plan("large", 4, 100), new Deployment.Plan("small", 1, 100)),
				List.of(PAWS, SNOW));

	/**
	 * The executable file of the program.
	 */
	@Option(name = "--executable", title = "FILE", description = "The executable file of ebonyford")
	private String executable;

	/**
	 * Creates a command.
	 */
	public DemoCommand() {
	}

	@Override
	public void run() {
		long start = System.nanoTime();
		System.out.println("Starting stand-ins and three routers in two data centres ...");
		Site.Builder builder = Site.of(DEPLOYMENT);
		if (this.executable != null) {
			builder = builder.executable(Path.of(this.executable).toAbsolutePath());
		}
		boolean whole;
		try (Site site = builder.start(); CheckingClient client = new CheckingClient()) {
			System.out.printf("All routers take requests after %.1f s.%n%n", seconds(start));
			whole = show(site, client);
		}
		System.out.printf("%nEverything was stopped; the demonstration took %.1f s.%n", seconds(start));
		if (!whole) {
			throw new IllegalStateException("An answer is wrong");
		}
	}

	private static boolean show(Site site, CheckingClient client) {
		List<Shown> shown = new ArrayList<>();
		for (Step step : steps()) {
			Router router = site.router(step.router());
			Verdict verdict = client.send(Route.throughRouter(router.callers()), step.spec()).join();
			shown.add(new Shown(step, router, verdict));
		}
		List<Truth> truths = site.deployment()
			.upstreams()
			.stream()
			.map((upstream) -> site.standIns().detailedTruth(upstream.name()))
			.toList();
		Table table = new Table("request", "organisation", "through", "answer", "outcome", "runs", "cost", "ms");
		shown.forEach((row) -> row.addTo(table, truths));
		System.out.println(table);
		List<Verdict> verdicts = shown.stream().map(Shown::verdict).toList();
		Audit audit = Audit.of(verdicts, truths);
		System.out.println();
		System.out.println("Told \"not run\" but ran: " + audit.falseNotRun().size() + "; ran twice: "
				+ audit.repeatedKeys().size() + "; told \"completed\" but never ran: " + audit.lostCompletions().size()
				+ "; upstreams that fell over: " + audit.falls());
		return audit.clean() && verdicts.stream().allMatch(Verdict::completed)
				&& shown.stream().allMatch((row) -> row.runs(truths) == 1);
	}

	private static List<Step> steps() {
		CallSpec booking = CallSpec.call(PAWS, "booking-core", "/bookings", "A sitter for Barsik, Almaty, 14 May")
			.once("booking-4711");
		CallSpec report = CallSpec.call(SNOW, "raportti", "/reports?station=7", "84 cm at 1,450 m").once("report-0815");
		return List.of(
				new Step("diet advice", 0, CallSpec.chat(PAWS, "llm", "May a dog eat salmon? [tokens=40]", false)),
				new Step("visit summary, streamed", 1, CallSpec.chat(PAWS, "llm", "Sum the visit up.", true)),
				new Step("booking with a deposit", 0, booking), new Step("the same booking, sent again", 1, booking),
				new Step("trail answer", 2, CallSpec.chat(SNOW, "kieli", "Is the fell trail open? [tokens=12]", false)),
				new Step("slope briefing, streamed", 0, CallSpec.chat(SNOW, "kieli", "Brief me on the slopes.", true)),
				new Step("filed report", 2, report), new Step("the same report, sent again", 0, report),
				new Step("depth of a station", 1, CallSpec.call(SNOW, "raportti", "/depths?station=7", "latest")));
	}

	private static double seconds(long startNanos) {
		return (double) (System.nanoTime() - startNanos) / TimeUnit.SECONDS.toNanos(1);
	}

	/**
	 * One request of the demonstration.
	 *
	 * @param title what the request is, in a few words
	 * @param router the number of the router that it is sent through
	 * @param spec the request
	 */
	private record Step(String title, int router, CallSpec spec) {

	}

	/**
	 * One request and its answer.
	 *
	 * @param step the request
	 * @param router the router that it was sent through
	 * @param verdict the judgement on the answer
	 */
	private record Shown(Step step, Router router, Verdict verdict) {

		private void addTo(Table table, List<Truth> truths) {
			String answer = this.verdict.completed() ? "whole" : this.verdict.result() + " " + this.verdict.reason();
			table.row(this.step.title(), this.step.spec().organisation().name(), this.router.vm(), answer,
					this.verdict.outcome(), runs(truths), this.verdict.cost(),
					TimeUnit.NANOSECONDS.toMillis(this.verdict.totalNanos()));
		}

		private long runs(List<Truth> truths) {
			return this.step.spec()
				.key()
				.map((key) -> Audit.runs(truths, Run::key, key))
				.orElseGet(() -> Audit.runs(truths, Run::requestId, this.verdict.requestId()));
		}

	}

}
