package org.ebonyford.gateway.process;

import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.ebonyford.gateway.process.FakeUpstream.Script;
import org.ebonyford.share.Usage;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Engines that have crashed, and look idle as nothing runs there.
 */
public class UnreachableUpstreamsTest {

	private static final int TOKENS = 5_000;

	private static final int CRASHED = 8;

	private static final int OPEN = 5;

	private final List<Socket> open = new ArrayList<>();

	private GatewayFixture fixture;

	@BeforeMethod
	public void start() {
		this.fixture = new GatewayFixture().configured();
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws IOException {
		for (Socket socket : this.open) {
			socket.close();
		}
		this.fixture.close();
	}

	@Test
	public void testRequestThatNoUpstreamTakesDoesNotCountAsServed() throws IOException {
		crashed();
		assertTrue(call("a").startsWith("HTTP/1.1 503"));
		assertEquals(usage(), new Usage(TOKENS, 0, TOKENS, 0));
	}

	@Test
	public void testRequestCountsAsServedOnceHoweverManyUpstreamsAreTried() throws IOException {
		crashed();
		this.fixture.upstream("sound", "models", Script.ok("x"));
		String answer = "";
		long calls = 0;
		while (!answer.startsWith("HTTP/1.1 200")) {
			calls++;
			answer = call("a" + calls);
		}
		assertEquals(usage(), new Usage(calls * TOKENS, TOKENS, calls * TOKENS, TOKENS));
	}

	/**
	 * The engine that answers is busy, so that the crashed ones seem better, and sends
	 * bytes of an answer all the time.
	 */
	@Test
	public void testRequestIsServedByAnUpstreamThatAnswersThoughMostHaveCrashed() throws IOException {
		this.fixture.upstream("sound", "models", (request, out, connection) -> {
			if (request.contains("Id: open0")) {
				trickle(request, out);
			}
			else if (!request.contains("Id: open")) {
				Script.ok("x").answer(request, out, connection);
			}
		});
		for (int index = 0; index < OPEN; index++) {
			Socket socket = this.fixture.connect();
			socket.getOutputStream()
				.write(GatewayFixture.request("/model/1", "open" + index, "Tokens: 2000\r\n").getBytes());
			this.open.add(socket);
		}
		assertTrue(call("heard").startsWith("HTTP/1.1 200"));
		crashed();
		assertTrue(call("a").startsWith("HTTP/1.1 200"), this.fixture.log());
	}

	private static void trickle(String request, OutputStream out) throws IOException {
		Script.send(out, Script.head(request, "200 OK", "Seal: s1\r\nContent-Length: 1000\r\n"));
		for (int sent = 0; sent < 100; sent++) {
			Script.send(out, "x");
			try {
				TimeUnit.MILLISECONDS.sleep(50);
			}
			catch (InterruptedException ex) {
				throw new IllegalStateException(ex);
			}
		}
	}

	private String call(String id) {
		return this.fixture.call("/model/1", id, "Tokens: " + TOKENS + "\r\n");
	}

	private Usage usage() {
		Gateway gateway = this.fixture.gateway();
		return gateway.eventLoop()
			.submit(() -> gateway.shares().ownUsage(1, gateway.clock().millis()).get("acme".hashCode()))
			.syncUninterruptibly()
			.getNow();
	}

	/**
	 * Registers upstreams at which nothing listens.
	 */
	private void crashed() throws IOException {
		List<String> ids = new ArrayList<>();
		for (int index = 0; index < CRASHED; index++) {
			ids.add("crashed" + index);
			try (ServerSocket socket = new ServerSocket(0)) {
				this.fixture.register(ids.get(index), "models", socket.getLocalPort(), "dc1", false);
			}
		}
		ids.forEach((id) -> GatewayFixture.await("upstream " + id,
				() -> this.fixture.log().contains("\"upstream\":\"" + id + "\"")));
	}

}
