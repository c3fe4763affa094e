package org.ebonyford.acceptance;

import java.util.List;

import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import org.ebonyford.emulator.load.Load;
import org.ebonyford.emulator.load.Report;
import org.ebonyford.emulator.process.Await;
import org.ebonyford.emulator.site.CommandResult;
import org.ebonyford.emulator.site.ReadyRouters;
import org.ebonyford.emulator.site.Site;

import static org.testng.Assert.assertEquals;

/**
 * Tests that a data centre that was taken out, and an upstream that leaves, get no new
 * work a few seconds later, and that nothing is cut.
 */
public class DataCentreOutTest {

	private static final String OUT = "kz-south-b";

	private static final long SECONDS = 60;

	private Site site;

	private ReadyRouters balancer;

	private Load load;

	@BeforeClass
	public void start() {
		this.site = Site.of(Sites.small().withRouters(4)).start();
		this.balancer = new ReadyRouters(this.site);
		this.load = new Load(102);
		this.load.rate(20, this.balancer, Sites::chat).rate(30, this.balancer, Sites::booking);
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
	public void testOutAndIn() {
		Judge judge = new Judge(this.site);
		List<String> upstreams = judge.upstreams(OUT);
		awaitWork(judge, upstreams, 0);
		operate("dc", "out", OUT);
		long inForce = System.currentTimeMillis() + Judge.IN_FORCE_MILLIS;
		awaitWork(judge, judge.upstreams("kz-south-a"), inForce + Judge.IN_FORCE_MILLIS);
		assertEquals(judge.begunAfter(upstreams, inForce), List.of());
		operate("dc", "in", OUT);
		awaitWork(judge, upstreams, System.currentTimeMillis());
	}

	@Test(dependsOnMethods = "testOutAndIn")
	public void testUpstreamLeavesByItsOwnReport() {
		this.site.standIns().order("llm-1", "leave");
		assertNoNewWork("llm-1", System.currentTimeMillis() + Judge.IN_FORCE_MILLIS);
		this.site.standIns().order("llm-1", "stay");
	}

	@Test(dependsOnMethods = "testUpstreamLeavesByItsOwnReport")
	public void testUpstreamLeavesByTheList() {
		this.site.listUpstream("llm-2", true);
		assertNoNewWork("llm-2", System.currentTimeMillis() + Judge.IN_FORCE_MILLIS);
		this.site.listUpstream("llm-2", false);
	}

	@Test(dependsOnMethods = "testUpstreamLeavesByTheList", alwaysRun = true)
	public void testNothingWasCut() {
		Report report = this.load.stop();
		Judge judge = new Judge(this.site);
		judge.assertHonest(report.verdicts());
		judge.assertNoFall();
		new Judge(this.site).assertAllServed(report.verdicts());
	}

	private void assertNoNewWork(String upstream, long inForce) {
		Judge judge = new Judge(this.site);
		awaitWork(judge, List.of("llm-3", "booking-core-1"), inForce + Judge.IN_FORCE_MILLIS);
		assertEquals(judge.begunAfter(List.of(upstream), inForce), List.of());
	}

	private void operate(String... arguments) {
		CommandResult result = this.site.operate(arguments);
		assertEquals(result.exitCode(), 0, result.output());
	}

	private static void awaitWork(Judge judge, List<String> upstreams, long after) {
		Await.until("new work at " + upstreams, SECONDS, () -> !judge.begunAfter(upstreams, after).isEmpty());
	}

}
