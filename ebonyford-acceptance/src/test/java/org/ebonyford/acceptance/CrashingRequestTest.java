package org.ebonyford.acceptance;

import java.util.ArrayList;
import java.util.List;

import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import org.ebonyford.emulator.load.CallSpec;
import org.ebonyford.emulator.load.CheckingClient;
import org.ebonyford.emulator.load.Route;
import org.ebonyford.emulator.load.Verdict;
import org.ebonyford.emulator.process.Await;
import org.ebonyford.emulator.site.Router;
import org.ebonyford.emulator.site.Site;
import org.ebonyford.emulator.truth.Truth;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests that a request that crashes its upstreams takes down a small number of them,
 * although its caller sends it again and again through all routers.
 */
public class CrashingRequestTest {

	private static final long MAX_CRASHES = 3;

	private static final int SENDS = 12;

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
	public void testCrashesAreFew() {
		CallSpec crashing = CallSpec.chat(Sites.PAWS, Sites.ENGINES, "Read this [crash]", false).within(20_000);
		List<Verdict> verdicts = new ArrayList<>();
		for (int send = 0; send < SENDS; send++) {
			Router router = this.site.router(send % this.site.routers().size());
			verdicts.add(this.client.send(Route.throughRouter(router.callers()), crashing).join());
		}
		Judge judge = new Judge(this.site);
		assertTrue(judge.sum(Truth::crashes) <= MAX_CRASHES, judge.sum(Truth::crashes) + " crashes: " + verdicts);
		Verdict last = verdicts.get(SENDS - 1);
		assertEquals(last.result(), Verdict.Result.REFUSED, last.toString());
		assertEquals(last.outcome(), "not-run", last.toString());
		judge.assertHonest(verdicts);
		awaitOthersServed();
	}

	private void awaitOthersServed() {
		for (Router router : this.site.routers()) {
			Await.until("other requests to be served", 60,
					() -> this.client.send(Route.throughRouter(router.callers()), Sites.chat(1)).join().completed());
		}
	}

}
