package org.ebonyford.acceptance;

import java.util.List;
import java.util.function.LongFunction;
import java.util.stream.Stream;

import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.ebonyford.emulator.load.CallSpec;
import org.ebonyford.emulator.load.Load;
import org.ebonyford.emulator.load.Report;
import org.ebonyford.emulator.load.Route;
import org.ebonyford.emulator.load.Verdict;
import org.ebonyford.emulator.process.Await;
import org.ebonyford.emulator.site.ReadyRouters;
import org.ebonyford.emulator.site.Router;
import org.ebonyford.emulator.site.Site;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests that every promise holds while two faults strike at once, and that the site
 * serves again afterwards.
 */
public class PairsOfFaultsTest {

	private static final long SEED = 106;

	private static final long SECONDS = 60;

	private static final int ANSWERS = 120;

	private static final int REPEATS = 8;

	private Site site;

	private ReadyRouters balancer;

	private Load load;

	@BeforeClass
	public void start() {
		this.site = Site.of(Sites.small().withRouters(4)).relayed().start();
		this.balancer = new ReadyRouters(this.site);
		this.load = new Load(SEED);
		this.load.backlog(24, this.balancer, Sites::chat)
			.rate(15, this.balancer, Sites::quote)
			.rate(25, this.balancer, PairsOfFaultsTest::repeatedBooking);
		awaitServed();
	}

	@AfterClass(alwaysRun = true)
	public void stop() {
		if (this.load != null) {
			this.load.close();
			this.balancer.close();
		}
		if (this.site != null) {
			this.site.close();
		}
	}

	@DataProvider
	public Object[][] pairs() {
		return Stream.of(SiteFault.values())
			.flatMap((first) -> Stream.of(SiteFault.values())
				.filter((second) -> second.compareTo(first) > 0 && !bothOfTheLog(first, second))
				.map((second) -> new Object[] { first, second }))
			.toArray(Object[][]::new);
	}

	@Test(dataProvider = "pairs")
	public void testPair(SiteFault first, SiteFault second) {
		first.strike(this.site);
		long inForce = System.currentTimeMillis() + Judge.IN_FORCE_MILLIS;
		second.strike(this.site);
		awaitAnswers();
		if (first == SiteFault.DATA_CENTRE_OUT) {
			awaitAnswersAfter(inForce);
		}
		second.heal(this.site);
		if (first == SiteFault.DATA_CENTRE_OUT) {
			assertNoWorkInTheDataCentre(inForce);
		}
		first.heal(this.site);
		this.site.awaitReady();
		awaitServed();
		assertPromisesKept(this.load.report());
	}

	@Test(dependsOnMethods = "testPair", alwaysRun = true)
	public void testEveryCallerGotAnAnswer() {
		Report report = this.load.stop();
		assertPromisesKept(report);
		assertTrue(report.count(Verdict.Result.COMPLETED) > report.verdicts().size() / 2, report.summary());
	}

	private void assertNoWorkInTheDataCentre(long inForce) {
		awaitAnswers();
		Judge judge = new Judge(this.site);
		assertEquals(judge.begunAfter(judge.upstreams(SiteFault.OUT), inForce), List.of());
	}

	private void assertPromisesKept(Report report) {
		Judge judge = new Judge(this.site);
		judge.assertHonest(report.verdicts());
		judge.assertNoFall();
	}

	private void awaitAnswers() {
		int before = this.load.report().verdicts().size();
		Await.until("answers under faults", SECONDS, () -> this.load.report().verdicts().size() >= before + ANSWERS);
	}

	private void awaitAnswersAfter(long moment) {
		Await.until("answers after " + moment, SECONDS,
				() -> this.load.report().verdicts().stream().anyMatch((verdict) -> verdict.startedAt() > moment));
	}

	private void awaitServed() {
		for (Router router : this.site.routers()) {
			awaitServed(router, Sites::chat);
			awaitServed(router, (number) -> Sites.booking(-number));
		}
	}

	private void awaitServed(Router router, LongFunction<CallSpec> specs) {
		Judge judge = new Judge(this.site);
		Await.until(() -> router.vm() + " to serve again: " + judge.describe(), SECONDS,
				() -> this.load.send(Route.throughRouter(router.callers()), specs.apply(System.nanoTime()))
					.join()
					.completed());
	}

	private static CallSpec repeatedBooking(long number) {
		return Sites.booking(number / REPEATS);
	}

	private static boolean bothOfTheLog(SiteFault first, SiteFault second) {
		return first == SiteFault.LOG_ANSWERS_LOST && second == SiteFault.LOG_OUTAGE;
	}

}
