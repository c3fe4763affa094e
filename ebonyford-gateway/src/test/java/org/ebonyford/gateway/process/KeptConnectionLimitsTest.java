package org.ebonyford.gateway.process;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.ebonyford.catalog.CallerLimits;
import org.ebonyford.gateway.process.FakeUpstream.Script;

import static org.testng.Assert.assertEquals;

/**
 * Guards against connections of callers that keep the limits of the configuration in
 * force when they were made.
 */
public class KeptConnectionLimitsTest {

	private static final CallerLimits NARROW = new CallerLimits(1_024, 100, 400, 1_000);

	private static final CallerLimits WIDE = new CallerLimits(8_192, 50_000, 3_000, 6_000);

	private static final String SMALL_BODY = "b".repeat(50);

	private static final String LARGE_BODY = "b".repeat(20_000);

	private static final String LARGE_HEADER = "X: " + "h".repeat(4_000) + "\r\n";

	private CountDownLatch held;

	private GatewayFixture fixture;

	private Socket socket;

	@BeforeMethod
	public void start() throws IOException {
		this.fixture = new GatewayFixture().configured();
		this.held = new CountDownLatch(1);
		this.fixture.upstream("u1", "reads", Script.ok("done"));
		this.fixture.upstream("u2", "pays", (request, out, connection) -> {
			if (request.startsWith("POST")) {
				await(this.held);
			}
			Script.ok("paid").answer(request, out, connection);
		});
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws IOException {
		this.held.countDown();
		this.socket.close();
		this.fixture.close();
	}

	@Test
	public void testLargerBodyIsTakenOnceTheLimitIsRaised() throws IOException {
		connect(NARROW);
		this.fixture.limit(WIDE);
		assertEquals(call("", LARGE_BODY), 200);
	}

	@Test
	public void testLargerChunkedBodyIsTakenOnceTheLimitIsRaised() throws IOException {
		connect(NARROW);
		this.fixture.limit(WIDE);
		send(head("/read/1", "Transfer-Encoding: chunked\r\n") + Integer.toHexString(LARGE_BODY.length()) + "\r\n"
				+ LARGE_BODY + "\r\n0\r\n\r\n");
		assertEquals(readStatus(), 200);
	}

	@Test
	public void testLargerHeadIsTakenOnceTheLimitIsRaised() throws IOException {
		connect(NARROW);
		this.fixture.limit(WIDE);
		assertEquals(call(LARGE_HEADER, SMALL_BODY), 200);
	}

	/**
	 * The larger request is sent ahead, while the one before is still open.
	 */
	@Test
	public void testLargerRequestSentAheadIsTakenOnceTheLimitIsRaised() throws IOException {
		connect(NARROW);
		send(head("/pay/1", "Content-Length: 0\r\n"));
		this.fixture.awaitLogged("the request is open", () -> this.fixture.metrics().contains("requests_open 1"));
		this.fixture.limit(WIDE);
		send(head("/read/1", LARGE_HEADER + "Content-Length: " + LARGE_BODY.length() + "\r\n") + LARGE_BODY);
		pause(200);
		this.held.countDown();
		assertEquals(readStatus(), 200);
		assertEquals(readStatus(), 200);
	}

	/**
	 * The limit is raised when the first lines of a head are read, which stay as they
	 * are.
	 */
	@Test
	public void testRequestThatIsBeingReadStaysWholeWhenLimitsChange() throws IOException {
		connect(WIDE);
		String request = head("/read/1", "X: one\r\nContent-Length: 4\r\n") + "body";
		send(request.substring(0, 60));
		this.fixture.limit(NARROW);
		send(request.substring(60));
		assertEquals(readStatus(), 200);
	}

	@Test
	public void testSlowHeadIsAwaitedOnceTheLimitIsRaised() throws IOException {
		connect(NARROW);
		this.fixture.limit(WIDE);
		String request = head("/read/1", "Content-Length: 0\r\n");
		send(request.substring(0, 40));
		pause(2 * NARROW.headerMillis());
		send(request.substring(40));
		assertEquals(readStatus(), 200);
	}

	@Test
	public void testIdleConnectionIsKeptOnceTheLimitIsRaised() throws IOException {
		connect(NARROW);
		this.fixture.limit(WIDE);
		pause(2 * NARROW.idleMillis());
		assertEquals(call("", SMALL_BODY), 200);
	}

	/**
	 * The caller may still go by the configuration before.
	 */
	@Test
	public void testConnectionThatIsIdleWhenTheLimitIsLoweredIsKeptAsLongAsBefore() throws IOException {
		connect(WIDE);
		this.fixture.limit(NARROW);
		pause(2 * NARROW.idleMillis());
		assertEquals(call("", SMALL_BODY), 200);
		pause(2 * NARROW.idleMillis());
		this.socket.setSoTimeout(1);
		assertEquals(this.socket.getInputStream().read(), -1, "the limit in force after an answer holds");
	}

	@Test
	public void testLoweredLimitHoldsForTheNextRequest() throws IOException {
		connect(WIDE);
		this.fixture.limit(NARROW);
		assertEquals(call("", LARGE_BODY), 413);
	}

	@Test
	public void testLoweredLimitOfHeadsHoldsForTheNextRequest() throws IOException {
		connect(WIDE);
		this.fixture.limit(NARROW);
		assertEquals(call(LARGE_HEADER, SMALL_BODY), 431);
	}

	private void connect(CallerLimits limits) throws IOException {
		this.fixture.limit(limits);
		this.socket = this.fixture.connect();
		assertEquals(call("", SMALL_BODY), 200);
	}

	private int call(String headers, String body) throws IOException {
		send(head("/read/1", headers + "Content-Length: " + body.length() + "\r\n") + body);
		return readStatus();
	}

	private static String head(String path, String headers) {
		return "POST " + path + " HTTP/1.1\r\nHost: acme.example\r\nId: a\r\nAuthorization: Bearer "
				+ GatewayFixture.KEY + "\r\n" + headers + "\r\n";
	}

	private void send(String text) throws IOException {
		this.socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
	}

	/**
	 * Reads an answer to its end.
	 */
	private int readStatus() throws IOException {
		InputStream in = this.socket.getInputStream();
		StringBuilder head = new StringBuilder();
		while (head.indexOf("\r\n\r\n") < 0) {
			int next = in.read();
			if (next < 0) {
				throw new IOException("closed after: " + head);
			}
			head.append((char) next);
		}
		in.readNBytes(Integer.parseInt(FakeUpstream.header(head.toString(), "content-length")));
		return Integer.parseInt(head.substring(9, 12));
	}

	private static void await(CountDownLatch latch) {
		try {
			latch.await(5, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static void pause(long millis) {
		try {
			TimeUnit.MILLISECONDS.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
