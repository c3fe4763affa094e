package org.ebonyford.gateway.process;

import java.io.IOException;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.ebonyford.gateway.process.FakeUpstream.Script;
import org.ebonyford.gateway.store.StoreTopic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Upstreams that say in their answers that they leave, or that they want nothing for a
 * while.
 */
public class UpstreamNoticeTest {

	private GatewayFixture fixture;

	@BeforeMethod
	public void start() {
		this.fixture = new GatewayFixture().configured();
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws IOException {
		this.fixture.close();
	}

	@Test
	public void testUpstreamThatLeavesGetsNothingMore() {
		FakeUpstream leaving = this.fixture.upstream("u1", "reads", leaving());
		assertStatus(this.fixture.call("/read/1", "a", ""), 200);
		FakeUpstream staying = this.fixture.upstream("u2", "reads", Script.ok("stays"));
		for (int index = 0; index < 10; index++) {
			assertTrue(this.fixture.call("/read/1", "b" + index, "").endsWith("stays"));
		}
		assertEquals(leaving.requests().size(), 1);
		assertEquals(staying.requests().size(), 10);
	}

	@Test
	public void testEntryThatComesBackDoesNotTakeTheNoticeBack() {
		FakeUpstream leaving = this.fixture.upstream("u1", "reads", leaving());
		assertStatus(this.fixture.call("/read/1", "a", ""), 200);
		this.fixture.register("u1", "reads", leaving.port(), "dc1", false);
		this.fixture.store().write(StoreTopic.UPSTREAMS, "u1", null);
		GatewayFixture.await("gone", () -> this.fixture.log().contains("UPSTREAM_GONE"));
		this.fixture.register("u1", "reads", leaving.port(), "dc1", false);
		GatewayFixture.await("registered again", () -> this.fixture.metrics().contains("ebonyford_upstreams 1"));
		assertStatus(this.fixture.call("/read/1", "b", ""), 503);
		assertEquals(leaving.requests().size(), 1);
	}

	@Test
	public void testUpstreamThatAsksToWaitGetsNothingUntilThen() {
		FakeUpstream full = this.fixture.upstream("u1", "pays",
				Script.status("503 Full", "Not-Run: 1\r\nRetry-After: 1.5\r\n"));
		assertStatus(this.fixture.call("/pay/1", "a", ""), 503);
		long refusedAt = System.nanoTime();
		this.fixture.upstream("u2", "pays", Script.ok("paid"));
		for (int index = 0; index < 10; index++) {
			assertStatus(this.fixture.call("/pay/1", "b" + index, ""), 200);
		}
		assertTrue(System.nanoTime() - refusedAt < 1_500_000_000L, "the test itself took too long");
		assertEquals(full.requests().size(), 1);
	}

	@Test
	public void testCallerIsToldWhenTheFirstUpstreamWantsRequestsAgain() {
		this.fixture.upstream("u1", "pays", Script.status("503 Full", "Not-Run: 1\r\nRetry-After: 30\r\n"));
		this.fixture.upstream("u2", "pays", Script.status("503 Full", "Not-Run: 1\r\nRetry-After: 20\r\n"));
		String answer = this.fixture.call("/pay/1", "a", "");
		assertStatus(answer, 503);
		assertTrue(answer.toLowerCase().matches("(?s).*retry-after: (19\\.[0-9]+|20\\.00)\r\n.*"), answer);
	}

	@Test
	public void testAnswerOfAnotherUpstreamAtTheAddressSaysNothing() {
		FakeUpstream other = this.fixture.upstream("u1", "pays", (request, out, connection) -> {
			boolean first = FakeUpstream.header(request, "id").equals("a");
			Script answer = first ? Script.status("421 Other", "Leaving: 1\r\n") : Script.ok("paid");
			answer.answer(request, out, connection);
		});
		assertStatus(this.fixture.call("/pay/1", "a", ""), 503);
		GatewayFixture.await("used again", () -> this.fixture.call("/pay/1", "b", "").startsWith("HTTP/1.1 200"));
		assertEquals(other.requests().size(), 2);
	}

	private static Script leaving() {
		return (request, out, connection) -> Script.send(out,
				Script.head(request, "200 OK", "Seal: s1\r\nLeaving: 1\r\nContent-Length: 1\r\n") + "x");
	}

	private static void assertStatus(String answer, int status) {
		assertTrue(answer.startsWith("HTTP/1.1 " + status + " "), "expected " + status + ": " + answer);
	}

}
