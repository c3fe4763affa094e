package org.ebonyford.gateway.process;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.ebonyford.gateway.store.StoreTopic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Several gateways before upstreams that end under one request, whose caller sends it
 * again and again.
 */
public class RequestThatEndsUpstreamsTest {

	/**
	 * The upstreams that may end before every gateway has to know the request.
	 */
	private static final int KNOWN_AFTER = 3;

	/**
	 * The times that the request may be sent after that.
	 */
	private static final int SENT_ON = 3;

	private static final int ATTEMPTS = 18;

	private FakeStore store;

	private final List<GatewayFixture> gateways = new ArrayList<>();

	private MortalUpstreams upstreams;

	@BeforeMethod
	public void clear() {
		this.store = new FakeStore();
		this.gateways.clear();
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws IOException {
		for (GatewayFixture gateway : this.gateways) {
			gateway.close();
		}
		this.upstreams.close();
	}

	@Test
	public void testRequestUnderWhichThreeUpstreamsEndedIsNotSentOnByOneGateway() throws Exception {
		begin("pays", 1, 6, true);
		assertBounded("/pay/fatal");
	}

	@Test
	public void testRequestUnderWhichThreeUpstreamsEndedIsNotSentOnByAnyGateway() throws Exception {
		begin("pays", 3, 6, true);
		assertBounded("/pay/fatal");
	}

	@Test
	public void testRepeatableRequestUnderWhichThreeUpstreamsEndedIsNotSentOn() throws Exception {
		begin("reads", 3, 6, true);
		assertBounded("/read/fatal");
	}

	@Test
	public void testRequestIsNotSentOnByGatewaysThatReachTheStoreOnly() throws Exception {
		begin("pays", 3, 6, false);
		assertBounded("/pay/fatal");
	}

	@Test
	public void testRequestIsNotSentOnWhileTheStoreIsAway() throws Exception {
		begin("pays", 3, 20, true);
		GatewayFixture.await("all gateways know each other",
				() -> this.gateways.stream().allMatch((one) -> one.metrics().contains("ebonyford_gateways 3")));
		this.store.away(true);
		assertBounded("/pay/fatal");
	}

	@Test
	public void testRequestIsNotSentOnByGatewaysThatStartedInBetween() throws Exception {
		begin("pays", 3, 6, true);
		int sent = 0;
		for (int round = 0; round < 4; round++) {
			sent = send("/pay/fatal", "r" + round, 3);
			GatewayFixture.await("the crashes are in the store",
					() -> this.store.records(StoreTopic.GATEWAYS)
						.stream()
						.anyMatch((record) -> record.key().startsWith("crashes ")));
			restart();
		}
		sent = send("/pay/fatal", "last", ATTEMPTS);
		assertTrue(sent <= KNOWN_AFTER + SENT_ON, "sent " + sent + " times");
	}

	@Test
	public void testBystandersAreServedWhileARequestEndsUpstreams() throws Exception {
		begin("reads", 3, 8, true);
		AtomicBoolean over = new AtomicBoolean();
		List<String> unserved = new CopyOnWriteArrayList<>();
		List<Thread> callers = new ArrayList<>();
		for (int caller = 0; caller < 8; caller++) {
			int number = caller;
			Thread thread = new Thread(() -> callUntil(over, number, unserved), "caller");
			callers.add(thread);
			thread.start();
		}
		assertBounded("/read/fatal");
		over.set(true);
		for (Thread caller : callers) {
			caller.join();
		}
		assertTrue(unserved.isEmpty(), unserved.toString());
		this.gateways.forEach((gateway) -> gateway.log()
			.lines()
			.filter((line) -> line.contains("\"reason\":\"upstreams have ended under the request\""))
			.forEach((line) -> assertTrue(line.contains("\"request\":\"a"), line)));
	}

	private void callUntil(AtomicBoolean over, int caller, List<String> unserved) {
		for (int number = 0; !over.get(); number++) {
			String path = "/read/" + caller + "-" + number;
			String answer = "";
			for (int attempt = 0; attempt < 4 && !answer.startsWith("HTTP/1.1 200 "); attempt++) {
				GatewayFixture gateway = this.gateways.get((number + attempt) % this.gateways.size());
				answer = gateway.call(path, "b" + caller + "-" + number + "-" + attempt, "");
			}
			if (!answer.endsWith("whole")) {
				unserved.add(path + ": " + answer);
			}
		}
	}

	private void restart() throws IOException {
		for (GatewayFixture gateway : this.gateways) {
			gateway.close();
		}
		int count = this.gateways.size();
		this.gateways.clear();
		start(count, true);
	}

	private int send(String path, String name, int attempts) throws InterruptedException {
		for (int attempt = 0; attempt < attempts; attempt++) {
			this.gateways.get(attempt % this.gateways.size()).call(path, name + attempt, "");
			TimeUnit.MILLISECONDS.sleep(150);
		}
		return this.upstreams.fatalArrivals();
	}

	private void begin(String service, int count, int living, boolean peers) throws IOException {
		start(count, peers);
		this.gateways.get(0).configure();
		this.upstreams = new MortalUpstreams(this.store, service, living, 20);
		GatewayFixture.await("all gateways are ready", () -> this.gateways.stream()
			.allMatch((one) -> one.readiness() == 200 && one.metrics().contains("ebonyford_upstreams " + living)));
	}

	private void start(int count, boolean peers) {
		for (int index = 0; index < count; index++) {
			this.gateways.add(new GatewayFixture(this.store, peers));
		}
		if (!this.store.records(StoreTopic.OPERATOR).isEmpty()) {
			GatewayFixture.await("all gateways are ready",
					() -> this.gateways.stream().allMatch((one) -> one.readiness() == 200));
		}
	}

	/**
	 * Sends the fatal request to the gateways in turn, and judges by what upstreams saw.
	 */
	private void assertBounded(String path) throws InterruptedException {
		String last = "";
		for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
			last = this.gateways.get(attempt % this.gateways.size()).call(path, "a" + attempt, "");
			TimeUnit.MILLISECONDS.sleep(150);
		}
		int sent = this.upstreams.fatalArrivals();
		assertTrue(sent <= KNOWN_AFTER + SENT_ON,
				"sent " + sent + " times, under which " + this.upstreams.ended() + " upstreams ended");
		assertTrue(last.startsWith("HTTP/1.1 503 "), last);
		assertEquals(this.upstreams.fatalArrivals(), sent);
	}

}
