package org.ebonyford.gateway.process;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.ebonyford.gateway.store.StoreTopic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against requests with one prompt part in common, no two alike, that crash one
 * upstream after the other, and against refusing sound requests that share their other
 * parts.
 */
public class PromptPartThatCrashesUpstreamsTest {

	/**
	 * The crashes after which every gateway has to know the part.
	 */
	private static final int KNOWN_AFTER = 5;

	/**
	 * The requests with the part that may reach upstreams after that.
	 */
	private static final int SENT_ON = 3;

	private static final int ATTEMPTS = 18;

	private FakeStore store;

	private final List<GatewayFixture> gateways = new ArrayList<>();

	private MortalUpstreams upstreams;

	private int requests;

	@BeforeMethod
	public void clear() {
		this.store = new FakeStore();
		this.gateways.clear();
		this.requests = 0;
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws IOException {
		for (GatewayFixture gateway : this.gateways) {
			gateway.close();
		}
		this.upstreams.close();
	}

	@Test
	public void testPartIsNotSentOnByOneGateway() throws Exception {
		begin(1, true);
		assertBounded(ATTEMPTS);
	}

	@Test
	public void testPartIsNotSentOnByAnyGateway() throws Exception {
		begin(3, true);
		assertBounded(ATTEMPTS);
	}

	@Test
	public void testPartIsNotSentOnByGatewaysThatReachTheStoreOnly() throws Exception {
		begin(3, false);
		assertBounded(ATTEMPTS);
	}

	@Test
	public void testPartIsNotSentOnWhileTheStoreIsAway() throws Exception {
		begin(3, true);
		GatewayFixture.await("all gateways know each other",
				() -> this.gateways.stream().allMatch((one) -> one.metrics().contains("ebonyford_gateways 3")));
		this.store.away(true);
		sendFatal(KNOWN_AFTER);
		GatewayFixture.await("all gateways suspect the part",
				() -> this.gateways.stream().allMatch((one) -> one.metrics().contains("ebonyford_suspected_parts 1")));
	}

	@Test
	public void testPartIsNotSentOnByGatewaysThatStartedInBetween() throws Exception {
		begin(3, true);
		for (int round = 0; round < 4; round++) {
			sendFatal(3);
			GatewayFixture.await("the crashes are in the store",
					() -> this.store.records(StoreTopic.GATEWAYS)
						.stream()
						.anyMatch((record) -> record.key().startsWith("crashes ")));
			restart();
		}
		assertBounded(ATTEMPTS);
	}

	private void restart() throws IOException {
		for (GatewayFixture gateway : this.gateways) {
			gateway.close();
		}
		int count = this.gateways.size();
		this.gateways.clear();
		start(count, true);
		awaitReady();
	}

	private void begin(int count, boolean peers) throws IOException {
		start(count, peers);
		this.gateways.get(0).configure();
		this.upstreams = new MortalUpstreams(this.store, "models", ATTEMPTS, 20);
		awaitReady();
	}

	private void start(int count, boolean peers) {
		for (int index = 0; index < count; index++) {
			this.gateways.add(new GatewayFixture(this.store, peers));
		}
	}

	private void awaitReady() {
		GatewayFixture.await("all gateways are ready", () -> this.gateways.stream()
			.allMatch((one) -> one.readiness() == 200 && one.metrics().contains("ebonyford_upstreams " + ATTEMPTS)));
	}

	/**
	 * Sends requests with the part to the gateways in turn, each between sound requests
	 * with its other parts, and judges by what the upstreams saw.
	 */
	private void assertBounded(int attempts) throws InterruptedException {
		String last = sendFatal(attempts);
		int sent = this.upstreams.fatalArrivals();
		assertTrue(sent <= KNOWN_AFTER + SENT_ON,
				"sent " + sent + " times, under which " + this.upstreams.ended() + " upstreams ended");
		assertTrue(last.startsWith("HTTP/1.1 503 "), last);
		for (GatewayFixture gateway : this.gateways) {
			// The keys may not be known to be in force for a moment.
			GatewayFixture.await("a sound request is served", () -> callSound(gateway).endsWith("whole"));
		}
		assertEquals(this.upstreams.fatalArrivals(), sent);
	}

	private String sendFatal(int attempts) throws InterruptedException {
		String last = "";
		for (int attempt = 0; attempt < attempts; attempt++) {
			callSound(this.gateways.get(attempt % this.gateways.size()));
			last = call(this.gateways.get(attempt % this.gateways.size()), "first,middle," + MortalUpstreams.FATAL);
			TimeUnit.MILLISECONDS.sleep(150);
		}
		return last;
	}

	private String callSound(GatewayFixture gateway) {
		return call(gateway, "first,middle");
	}

	private String call(GatewayFixture gateway, String sharedParts) {
		String id = "q" + this.requests++;
		return gateway.call("/model/" + id, id, "Tokens: 40\r\nParts: " + sharedParts + "," + id + "\r\n");
	}

}
