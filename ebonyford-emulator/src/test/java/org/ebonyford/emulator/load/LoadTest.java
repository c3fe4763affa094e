package org.ebonyford.emulator.load;

import java.util.List;

import org.testng.annotations.Test;

import org.ebonyford.emulator.process.Await;
import org.ebonyford.emulator.site.Deployment;
import org.ebonyford.emulator.truth.Truth;
import org.ebonyford.emulator.upstream.ServiceStandIn;
import org.ebonyford.emulator.upstream.UpstreamSettings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests the load tool against a stand-in, without a router between.
 */
public class LoadTest {

	@Test
	public void testJudgesEveryAnswer() {
		Deployment.Organisation organisation = new Deployment.Organisation("paws", "small");
		try (ServiceStandIn service = new ServiceStandIn(UpstreamSettings.service("booking-core-1").limits(500, 500));
				Load load = new Load(20261203)) {
			Balancer routes = new Balancer.OfAll(List.of(Route.direct(service.address())));
			load.rate(100, routes, (number) -> CallSpec.call(organisation, "booking-core", "/quotes", "q" + number))
				.backlog(4, routes, (number) -> CallSpec.call(organisation, "booking-core", "/visits", "v" + number));
			Await.until("some answers", 120, () -> load.report().count(Verdict.Result.COMPLETED) > 200);
			Report report = load.stop();
			Truth truth = (Truth) service.truth(true);
			assertEquals(report.count(Verdict.Result.COMPLETED), truth.completed());
			assertEquals(report.violations(), List.of());
			assertTrue(Audit.of(report.verdicts(), List.of(truth)).clean());
			assertTrue(report.latencies((verdict) -> true, Verdict::totalNanos).getValueAtPercentile(50) >= 5_000);
		}
	}

}
