package org.ebonyford.acceptance;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;

import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import org.ebonyford.emulator.load.CallSpec;
import org.ebonyford.emulator.load.CheckingClient;
import org.ebonyford.emulator.load.Route;
import org.ebonyford.emulator.load.Verdict;
import org.ebonyford.emulator.site.Router;
import org.ebonyford.emulator.site.Site;
import org.ebonyford.emulator.truth.Truth;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests that every router serves every kind of request.
 */
public class ServedEndToEndTest {

	private static final String SCHEME = "http://";

	private final CheckingClient client = new CheckingClient();

	private Site site;

	@BeforeClass
	public void start() {
		this.site = Site.of(Sites.small()).start();
	}

	@AfterClass(alwaysRun = true)
	public void stop() {
		if (this.site != null) {
			this.site.close();
		}
		this.client.close();
	}

	@Test
	public void testEveryRouterServesEveryKind() {
		List<Verdict> verdicts = new ArrayList<>();
		long number = 0;
		for (Router router : this.site.routers()) {
			verdicts.add(send(router, Sites.chat(number++)));
			verdicts.add(send(router, Sites.chat(number++)));
			verdicts.add(send(router, Sites.quote(number++)));
			verdicts.add(send(router, Sites.booking(number++)));
		}
		verdicts.forEach((verdict) -> assertTrue(verdict.completed(), verdict.toString()));
		verdicts.forEach((verdict) -> assertEquals(verdict.outcome(), "ran"));
		Judge judge = new Judge(this.site);
		judge.assertHonest(verdicts);
		judge.assertNoFall();
		assertEquals(judge.sum(Truth::begun), verdicts.size());
	}

	@Test
	public void testRepeatGetsTheFirstAnswer() {
		CallSpec booking = Sites.booking(4_711);
		List<Verdict> verdicts = this.site.routers().stream().map((router) -> send(router, booking)).toList();
		verdicts.forEach((verdict) -> assertTrue(verdict.completed(), verdict.toString()));
		new Judge(this.site).assertHonest(verdicts);
	}

	@Test(dependsOnMethods = "testEveryRouterServesEveryKind")
	public void testLogsHoldNoKeyAndNoBody() {
		for (Router router : this.site.routers()) {
			String output = router.process().output();
			assertTrue(output.contains("name=STARTED"), output);
			assertFalse(output.contains(Sites.PAWS.key()) || output.contains(Sites.LEVI.key()), output);
			assertFalse(output.contains("Question "), output);
		}
	}

	@Test
	public void testStatusNeedsTheOperatorsSecret() throws Exception {
		for (Router router : this.site.routers()) {
			assertEquals(get(router, "/status", "").statusCode(), 401);
			assertEquals(get(router, "/status", Sites.PAWS.key()).statusCode(), 401);
			assertTrue(router.status().contains("controlVersion"));
		}
	}

	@Test(dependsOnMethods = "testEveryRouterServesEveryKind")
	public void testMetricsTellOrganisationsAndClasses() throws Exception {
		for (Router router : this.site.routers()) {
			String metrics = get(router, "/metrics", "").body();
			assertTrue(metrics.contains("callers_organisation_"), metrics);
			assertTrue(metrics.contains("callers_class_"), metrics);
			assertTrue(metrics.contains("router_ready"), metrics);
		}
	}

	@Test
	public void testOperatorsPortServesNoCallers() throws Exception {
		for (Router router : this.site.routers()) {
			assertEquals(get(router, "/services/booking-core/quotes", Sites.PAWS.key()).statusCode(), 404);
		}
	}

	private static HttpResponse<String> get(Router router, String path, String secret) throws Exception {
		HttpRequest request = HttpRequest.newBuilder(URI.create(SCHEME + router.operators() + path))
			.header("Authorization", "Bearer " + secret)
			.build();
		return HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
	}

	private Verdict send(Router router, CallSpec spec) {
		return this.client.send(Route.throughRouter(router.callers()), spec).join();
	}

}
