package org.ebonyford.gateway.process;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.ebonyford.gateway.process.FakeUpstream.Script;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * How often a request runs, and what upstreams are told of the time that is left.
 */
public class RepeatLimitsTest {

	private static final int MAX_ATTEMPTS = 2;

	private static final long CALLER_MILLIS = 2_500;

	private final List<FakeUpstream> upstreams = new ArrayList<>();

	private GatewayFixture fixture;

	@BeforeMethod
	public void start() {
		this.upstreams.clear();
		this.fixture = new GatewayFixture().configured();
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws IOException {
		this.fixture.close();
	}

	@DataProvider
	public Object[][] failures() {
		return new Object[][] { { Script.status("500 Failed", "Seal: s1\r\n") }, { Script.reset() },
				{ (Script) (request, out, connection) -> Script.send(out, "no answer at all\r\n\r\n") },
				{ Script.status("200 OK", "") } };
	}

	@Test(dataProvider = "failures")
	public void testRequestRunsOnNoMoreUpstreamsThanItsRouteAllows(Script failure) {
		start("reads", failure);
		String answer = this.fixture.call("/read/1", "a", "");
		assertEquals(requests().size(), MAX_ATTEMPTS, answer + "\n" + this.fixture.log());
	}

	@Test(dataProvider = "failures")
	public void testRequestThatMayNotBeRepeatedRunsOnce(Script failure) {
		start("pays", failure);
		this.fixture.call("/pay/1", "a", "");
		assertEquals(requests().size(), 1);
	}

	@Test
	public void testUpstreamsAreToldNoMoreTimeThanIsLeft() {
		start("reads", (request, out, connection) -> {
			sleep(300);
			Script.reset().answer(request, out, connection);
		});
		this.fixture.call("/read/1", "a", "Deadline: " + CALLER_MILLIS + "\r\n");
		List<Long> told = requests().stream()
			.map((request) -> Long.parseLong(FakeUpstream.header(request, "deadline")))
			.sorted()
			.toList();
		assertEquals(told.size(), MAX_ATTEMPTS);
		assertTrue(told.get(1) <= CALLER_MILLIS, told.toString());
		assertTrue(told.get(0) <= told.get(1) - 300, told.toString());
	}

	@Test
	public void testUpstreamsAreToldTheTimeOfTheRouteWhereTheCallerTellsNone() {
		start("pays", Script.ok("paid"));
		this.fixture.call("/pay/1", "a", "");
		assertTrue(Long.parseLong(FakeUpstream.header(requests().get(0), "deadline")) <= 3_000);
	}

	private void start(String service, Script script) {
		for (int index = 0; index < 4; index++) {
			this.upstreams.add(this.fixture.upstream(service + index, service, script));
		}
	}

	private List<String> requests() {
		return this.upstreams.stream().flatMap((upstream) -> upstream.requests().stream()).toList();
	}

	private static void sleep(long millis) {
		try {
			TimeUnit.MILLISECONDS.sleep(millis);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
