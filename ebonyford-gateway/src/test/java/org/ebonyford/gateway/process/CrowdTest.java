package org.ebonyford.gateway.process;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.ebonyford.gateway.process.FakeUpstream.Script;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Crowds of callers that come on new connections, keep the old ones open, and leave
 * early.
 */
public class CrowdTest {

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
	public void testIdleConnectionsLeaveDescriptorsForOthers() throws IOException {
		this.fixture.upstream("u1", "reads", Script.ok("x"));
		List<Socket> crowd = new ArrayList<>();
		try {
			for (int index = 0; index < GatewayFixture.DESCRIPTORS; index++) {
				Socket socket = this.fixture.connect();
				crowd.add(socket);
				send(socket, GatewayFixture.request("/read/1", "a" + index, "").replace("Connection: close\r\n", ""));
				String head = head(socket);
				assertTrue(head.startsWith("HTTP/1.1 200"), head + this.fixture.log());
				assertBounded(index);
			}
			assertTrue(this.fixture.call("/read/1", "last", "").startsWith("HTTP/1.1 200"));
		}
		finally {
			for (Socket socket : crowd) {
				socket.close();
			}
		}
	}

	@Test
	public void testConnectionsWithoutARequestGiveWay() throws IOException {
		this.fixture.upstream("u1", "reads", Script.ok("x"));
		List<Socket> crowd = new ArrayList<>();
		try {
			for (int index = 0; index < GatewayFixture.DESCRIPTORS; index++) {
				crowd.add(this.fixture.connect());
				assertBounded(index);
			}
			assertTrue(this.fixture.call("/read/1", "last", "").startsWith("HTTP/1.1 200"));
		}
		finally {
			for (Socket socket : crowd) {
				socket.close();
			}
		}
	}

	/**
	 * The event loop is held up while the caller connects, sends its request and leaves.
	 */
	@Test
	public void testRequestOfACallerThatHasLeftIsNotSent() throws Exception {
		FakeUpstream upstream = this.fixture.upstream("u1", "reads", Script.ok("x"));
		assertTrue(this.fixture.call("/read/1", "first", "").startsWith("HTTP/1.1 200"));
		CountDownLatch held = new CountDownLatch(1);
		this.fixture.gateway().eventLoop().execute(() -> await(held));
		for (int index = 0; index < 20; index++) {
			try (Socket socket = this.fixture.connect()) {
				send(socket, GatewayFixture.request("/read/1", "left" + index, ""));
			}
		}
		held.countDown();
		GatewayFixture.await("served again", () -> this.fixture.call("/read/1", "last", "").startsWith("HTTP/1.1 200"));
		List<String> sent = upstream.requests().stream().map((request) -> FakeUpstream.header(request, "id")).toList();
		assertEquals(sent, List.of("first", "last"));
	}

	private void assertBounded(int opened) {
		if (opened % 40 == 0) {
			int connections = connections();
			assertTrue(connections <= GatewayFixture.DESCRIPTORS * 0.6 + 1, connections + " connections are open");
		}
	}

	private int connections() {
		return this.fixture.metrics()
			.lines()
			.filter((line) -> line.startsWith("ebonyford_connections "))
			.mapToInt((line) -> (int) Double.parseDouble(line.substring(line.indexOf(' '))))
			.sum();
	}

	private static void await(CountDownLatch latch) {
		try {
			latch.await(5, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static void send(Socket socket, String text) throws IOException {
		socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
	}

	private static String head(Socket socket) throws IOException {
		byte[] bytes = socket.getInputStream().readNBytes(12);
		return new String(bytes, StandardCharsets.ISO_8859_1);
	}

}
