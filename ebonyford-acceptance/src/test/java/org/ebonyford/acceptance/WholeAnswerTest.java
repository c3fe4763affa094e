package org.ebonyford.acceptance;

import java.util.List;

import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import org.ebonyford.emulator.fault.Fault;
import org.ebonyford.emulator.load.Load;
import org.ebonyford.emulator.load.Report;
import org.ebonyford.emulator.load.Verdict;
import org.ebonyford.emulator.process.Await;
import org.ebonyford.emulator.site.Deployment;
import org.ebonyford.emulator.site.ReadyRouters;
import org.ebonyford.emulator.site.Site;

import static org.testng.Assert.assertTrue;

/**
 * Tests that callers get whole answers to their own requests only, although upstreams
 * answer late, crossed, truncated or not at all.
 */
public class WholeAnswerTest {

	private static final List<Fault.Kind> FAULTS = List.of(Fault.Kind.LATE, Fault.Kind.CROSSED, Fault.Kind.TRUNCATED,
			Fault.Kind.RESET, Fault.Kind.LOST, Fault.Kind.STALL, Fault.Kind.DECLINE, Fault.Kind.SLOW);

	private static final int STRIKES = 6;

	private static final int ANSWERS = 60;

	private Site site;

	private ReadyRouters balancer;

	private Load load;

	@BeforeClass
	public void start() {
		this.site = Site.of(Sites.small()).start();
		this.balancer = new ReadyRouters(this.site);
		this.load = new Load(104);
		this.load.rate(30, this.balancer, Sites::chat)
			.rate(30, this.balancer, Sites::quote)
			.rate(20, this.balancer, Sites::booking);
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
	public void testFaultsOfUpstreams() {
		for (Fault.Kind kind : FAULTS) {
			for (Deployment.Upstream upstream : this.site.deployment().upstreams()) {
				this.site.standIns()
					.fault(upstream.name(), Fault.of(kind).on("work").forCalls(STRIKES).delayedBy(1_500));
			}
			long before = completed();
			Await.until(kind + " to pass", 120, () -> completed() >= before + ANSWERS);
		}
		Report report = this.load.stop();
		Judge judge = new Judge(this.site);
		judge.assertHonest(report.verdicts());
		judge.assertNoFall();
		assertTrue(report.count(Verdict.Result.COMPLETED) > ANSWERS * FAULTS.size(), report.summary());
	}

	private long completed() {
		return this.load.report().count(Verdict.Result.COMPLETED);
	}

}
