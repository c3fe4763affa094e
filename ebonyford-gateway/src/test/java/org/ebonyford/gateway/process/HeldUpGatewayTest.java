package org.ebonyford.gateway.process;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.ebonyford.gateway.process.FakeUpstream.Script;
import org.ebonyford.gateway.store.StoreTopic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against gateways that go by what they read before they were held up for some
 * seconds.
 */
public class HeldUpGatewayTest {

	/**
	 * Longer than the two seconds after which an upstream that has left may get nothing.
	 */
	private static final long HELD_UP_MILLIS = 2_600;

	private static final long READ_DELAY_MILLIS = 200;

	private static final long LONGEST_WAIT_MILLIS = 1_000;

	private static final int CALLERS = 8;

	private GatewayFixture fixture;

	private FakeUpstream left;

	@BeforeMethod
	public void start() {
		this.fixture = new GatewayFixture().configured();
		this.left = this.fixture.upstream("u1", "opens", Script.ok("left"));
		this.fixture.delayReads(READ_DELAY_MILLIS);
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws IOException {
		this.fixture.close();
	}

	@Test
	public void testUpstreamThatLeftWhileTheGatewayWasHeldUpGetsNothing() throws Exception {
		holdUp(() -> this.fixture.store().write(StoreTopic.UPSTREAMS, "u1", null));
		List<String> answers = callInTurn("/open/1");
		assertEquals(this.left.requests().size(), 0, answers + "\n" + this.fixture.log());
		answers.forEach((answer) -> assertTrue(answer.startsWith("HTTP/1.1 503"), answer));
	}

	@Test
	public void testDataCentreThatWasEvacuatedWhileTheGatewayWasHeldUpGetsNothing() throws Exception {
		holdUp(() -> this.fixture.store().write(StoreTopic.OPERATOR, "evacuate dc1", "now"));
		List<String> answers = callInTurn("/open/1");
		assertEquals(this.left.requests().size(), 0, answers + "\n" + this.fixture.log());
	}

	@Test
	public void testSuspensionIsNoticedThoughARequestComesFirst() throws Exception {
		this.fixture.suspend(HELD_UP_MILLIS);
		String answer = this.fixture.call("/open/1", "a", "");
		GatewayFixture.await("the suspension is noticed", () -> this.fixture.log().contains("CLOCKS_DIVERGED"));
		assertTrue(answer.startsWith("HTTP/1.1 200"), answer + this.fixture.log());
	}

	@Test
	public void testRequestsAreServedOnceTheStoreHasAnsweredAgain() throws Exception {
		holdUp(() -> {
		});
		TimeUnit.MILLISECONDS.sleep(LONGEST_WAIT_MILLIS);
		String answer = this.fixture.call("/open/1", "b", "");
		assertTrue(answer.startsWith("HTTP/1.1 200"), answer + this.fixture.log());
	}

	@Test
	public void testRequestsAreServedAfterTheGatewayWasHeldUpWhileTheStoreIsAway() throws Exception {
		holdUp(() -> this.fixture.store().away(true));
		TimeUnit.MILLISECONDS.sleep(LONGEST_WAIT_MILLIS);
		String answer = this.fixture.call("/open/1", "b", "");
		assertTrue(answer.startsWith("HTTP/1.1 200"), answer + this.fixture.log());
	}

	/**
	 * Keeps the event loop busy, and changes something at the beginning of that time.
	 */
	private void holdUp(Runnable change) throws InterruptedException {
		this.fixture.gateway().eventLoop().submit(() -> {
			change.run();
			TimeUnit.MILLISECONDS.sleep(HELD_UP_MILLIS);
			return null;
		}).sync();
	}

	/**
	 * Sends requests at short intervals, so that some come when the gateway reads in time
	 * again but has no answer of the store yet.
	 */
	private List<String> callInTurn(String path) throws Exception {
		List<CompletableFuture<String>> answers = new ArrayList<>();
		for (int index = 0; index < CALLERS; index++) {
			String id = "a" + index;
			answers.add(CompletableFuture.supplyAsync(() -> this.fixture.call(path, id, "")));
			TimeUnit.MILLISECONDS.sleep(READ_DELAY_MILLIS / CALLERS);
		}
		return answers.stream().map(CompletableFuture::join).toList();
	}

}
