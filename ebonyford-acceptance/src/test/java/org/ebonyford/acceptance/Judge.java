package org.ebonyford.acceptance;

import java.util.Collection;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

import org.ebonyford.emulator.load.Audit;
import org.ebonyford.emulator.load.Verdict;
import org.ebonyford.emulator.site.Deployment;
import org.ebonyford.emulator.site.Router;
import org.ebonyford.emulator.site.Site;
import org.ebonyford.emulator.truth.Run;
import org.ebonyford.emulator.truth.Truth;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Judges a site by what its stand-ins counted.
 */
final class Judge {

	/**
	 * The milliseconds within which an order of an operator or of the platform has to be
	 * in force.
	 */
	static final long IN_FORCE_MILLIS = 3_000;

	/**
	 * The site.
	 */
	private final Site site;

	Judge(Site site) {
		this.site = site;
	}

	/**
	 * Returns what happened at all upstreams.
	 * @return the truths with every run
	 */
	List<Truth> truths() {
		return this.site.deployment()
			.upstreams()
			.stream()
			.map((upstream) -> this.site.standIns().detailedTruth(upstream.name()))
			.toList();
	}

	/**
	 * Returns a sum over all upstreams.
	 * @param count picks the count of an upstream
	 * @return the sum
	 */
	long sum(ToLongFunction<Truth> count) {
		return this.site.deployment()
			.upstreams()
			.stream()
			.mapToLong((upstream) -> count.applyAsLong(this.site.standIns().truth(upstream.name())))
			.sum();
	}

	/**
	 * Describes the state of the site for a failure's message.
	 * @return what stand-ins and routers say
	 */
	String describe() {
		StringBuilder text = new StringBuilder();
		for (Deployment.Upstream upstream : this.site.deployment().upstreams()) {
			Truth truth = this.site.standIns().truth(upstream.name());
			text.append(String.format("%n%s in %s runs %d, bears %d, completed %d, fell %d", truth.name(),
					upstream.dataCentre(), truth.running(), truth.bears(), truth.completed(), truth.falls()));
		}
		for (Router router : this.site.routers()) {
			text.append(System.lineSeparator()).append(router.vm()).append(": ").append(router.status());
		}
		return text.toString();
	}

	/**
	 * Returns the upstreams of a data centre.
	 * @param dataCentre the data centre
	 * @return their names
	 */
	List<String> upstreams(String dataCentre) {
		return this.site.deployment()
			.upstreams()
			.stream()
			.filter((upstream) -> upstream.dataCentre().equals(dataCentre))
			.map(Deployment.Upstream::name)
			.toList();
	}

	/**
	 * Returns the runs of some upstreams that began after a moment.
	 * @param upstreams the names of the upstreams
	 * @param moment the moment in milliseconds since the epoch
	 * @return the runs
	 */
	List<Run> begunAfter(Collection<String> upstreams, long moment) {
		return upstreams.stream()
			.flatMap((upstream) -> this.site.standIns().detailedTruth(upstream).runs().stream())
			.filter((run) -> run.startedAt() > moment)
			.toList();
	}

	/**
	 * Requires that nobody was told a lie and nothing ran twice.
	 * @param verdicts what callers made of their answers
	 */
	void assertHonest(Collection<Verdict> verdicts) {
		Audit audit = Audit.of(verdicts, truths());
		assertEquals(audit.falseNotRun(), List.of(), "told not run but ran");
		assertEquals(audit.repeatedKeys(), List.of(), "ran twice");
		assertEquals(audit.lostCompletions(), List.of(), "told completed but never ran");
		assertNone(verdicts, (verdict) -> verdict.result().violation(), "wrong answers");
	}

	/**
	 * Requires that no request was cut or refused.
	 * @param verdicts what callers made of their answers
	 */
	void assertAllServed(Collection<Verdict> verdicts) {
		assertNone(verdicts, (verdict) -> verdict.result() == Verdict.Result.BROKEN, "cut");
		assertNone(verdicts, (verdict) -> verdict.result() == Verdict.Result.REFUSED, "refused");
	}

	private static void assertNone(Collection<Verdict> verdicts, Predicate<Verdict> wrong, String what) {
		List<String> found = verdicts.stream().filter(wrong).map(Judge::describe).toList();
		assertTrue(found.isEmpty(), found.size() + " " + what + ", such as " + found.stream().limit(10).toList());
	}

	private static String describe(Verdict verdict) {
		return String.format("%n%s %s of %s after %d ms at %d: status %d, outcome %s, %s", verdict.result(),
				verdict.spec().kind(), verdict.requestId(), verdict.totalNanos() / 1_000_000, verdict.startedAt(),
				verdict.status(), verdict.outcome(), verdict.reason());
	}

	/**
	 * Requires that no upstream fell over under too much work.
	 */
	void assertNoFall() {
		assertEquals(truths().stream().flatMap((truth) -> truth.overloads().stream()).toList(), List.of(),
				"more work than an upstream bore");
	}

}
