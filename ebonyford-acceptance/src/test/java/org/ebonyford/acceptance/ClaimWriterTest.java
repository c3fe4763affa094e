package org.ebonyford.acceptance;

import java.util.List;

import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import org.ebonyford.emulator.load.Load;
import org.ebonyford.emulator.load.Verdict;
import org.ebonyford.emulator.process.Await;
import org.ebonyford.emulator.site.ReadyRouters;
import org.ebonyford.emulator.site.Router;
import org.ebonyford.emulator.site.Site;

/**
 * Tests that requests that may not be repeated run at most once, and go on running, while
 * each router of a data centre in turn fails, so that the one that appends for all is
 * among them. Each key is sent twice.
 */
public class ClaimWriterTest {

	private static final long SECONDS = 120;

	private static final int COMPLETIONS = 30;

	private Site site;

	private ReadyRouters balancer;

	private Load load;

	@BeforeClass
	public void start() {
		this.site = Site.of(Sites.small().withDataCentres("kz-south-a")).start();
		this.balancer = new ReadyRouters(this.site);
		this.load = new Load(107);
		this.load.rate(30, this.balancer, (number) -> Sites.booking(number / 2));
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

	@Test
	public void testEachRouterKilled() {
		for (int index = 0; index < this.site.routers().size(); index++) {
			awaitCompletions();
			this.site.router(index).kill();
			awaitCompletions();
			this.site.restart(index);
			this.site.awaitReady();
		}
		assertHonest();
	}

	@Test(dependsOnMethods = "testEachRouterKilled", alwaysRun = true)
	public void testEachRouterFrozenAndWoken() {
		for (Router router : this.site.routers()) {
			awaitCompletions();
			router.freeze();
			awaitCompletions();
			router.thaw();
			awaitCompletions();
		}
		assertHonest();
	}

	@Test(dependsOnMethods = "testEachRouterFrozenAndWoken", alwaysRun = true)
	public void testEachRouterStopped() {
		for (int index = 0; index < this.site.routers().size(); index++) {
			this.site.router(index).stop();
			this.site.router(index).process().awaitExit(SECONDS);
			awaitCompletions();
			this.site.restart(index);
			this.site.awaitReady();
		}
		assertHonest();
	}

	private void awaitCompletions() {
		long before = completions();
		Await.until(() -> "bookings to run, " + this.load.report().summary(), SECONDS,
				() -> completions() >= before + COMPLETIONS);
	}

	private long completions() {
		return this.load.report().count(Verdict.Result.COMPLETED);
	}

	private void assertHonest() {
		List<Verdict> verdicts = this.load.report().verdicts();
		new Judge(this.site).assertHonest(verdicts);
	}

}
