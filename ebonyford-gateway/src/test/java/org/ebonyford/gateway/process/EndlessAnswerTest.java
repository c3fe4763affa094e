package org.ebonyford.gateway.process;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicLong;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.ebonyford.gateway.process.FakeUpstream.Script;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Upstreams in trouble that send bytes without end, until the gateway closes the
 * connection.
 */
public class EndlessAnswerTest {

	/**
	 * The greatest number of bytes that the gateway may read of one answer: what it keeps
	 * of a body, and what the sockets of both sides hold.
	 */
	private static final long GREATEST_READ = 16L << 20;

	/**
	 * The sound answer of a stream up to its end.
	 */
	private static final int EVENTS = 6;

	private final AtomicLong sent = new AtomicLong();

	private GatewayFixture fixture;

	@BeforeMethod
	public void start() {
		this.sent.set(0);
		this.fixture = new GatewayFixture().configured();
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws IOException {
		this.fixture.close();
	}

	@Test
	public void testHeadWithoutEnd() {
		refusedAndClosed("/pay/1", "pays", "HTTP/1.1 200 OK\r\n", "X: " + "y".repeat(1_000) + "\r\n");
	}

	@Test
	public void testStatusLineWithoutEnd() {
		refusedAndClosed("/pay/1", "pays", "", "z".repeat(1_000));
	}

	@Test
	public void testInformationalResponsesWithoutEnd() {
		refusedAndClosed("/pay/1", "pays", "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n");
	}

	@Test
	public void testInformationalResponseIsNoAnswer() {
		this.fixture.upstream("u1", "pays", (request, out, connection) -> {
			Script.send(out, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n");
			pause(50);
			Script.ok("paid").answer(request, out, connection);
		});
		String answer = this.fixture.call("/pay/1", "a", "");
		assertTrue(answer.startsWith("HTTP/1.1 200") && answer.endsWith("paid"), answer);
	}

	@Test
	public void testBodyWithoutEnd() {
		refusedAndClosed("/pay/1", "pays", "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\n\r\n", "b".repeat(4_096));
	}

	@Test
	public void testChunkSizeWithoutEnd() {
		refusedAndClosed("/pay/1", "pays",
				"HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n1;", "e".repeat(1_000));
	}

	@Test
	public void testEventWithoutEnd() {
		refusedAndClosed("/stream/1", "streams", "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\n\r\n",
				"data: " + "e".repeat(1_000) + "\n");
	}

	@Test
	public void testManyBodiesWithoutEndLeaveMemoryForOthers() throws Exception {
		this.fixture.upstream("u1", "pays",
				endless("HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\n\r\n", "b".repeat(65_536)));
		this.fixture.upstream("u2", "reads", Script.ok("x"));
		Thread[] callers = new Thread[20];
		for (int index = 0; index < callers.length; index++) {
			String id = "many" + index;
			callers[index] = new Thread(() -> this.fixture.call("/pay/1", id, ""));
			callers[index].start();
		}
		for (int index = 0; index < 20; index++) {
			assertTrue(this.fixture.call("/read/1", "b" + index, "").startsWith("HTTP/1.1 200"));
		}
		for (Thread caller : callers) {
			caller.join();
		}
		assertTrue(this.fixture.call("/read/1", "c", "").startsWith("HTTP/1.1 200"));
	}

	/**
	 * The stalled stream sends a byte of its next event every 100 ms; the route lets
	 * another upstream continue it.
	 */
	@Test
	public void testStreamThatTricklesIsContinuedElsewhere() {
		FakeUpstream stalled = this.fixture.upstream("u1", "resumes", (request, out, connection) -> {
			Script.send(out, Script.head(request, "200 OK", "Seal: s1\r\n") + "id: 1\ndata: piece 1\n\n");
			trickle(connection, "x");
		});
		assertContinued(stalled);
	}

	@Test
	public void testStreamThatOnlySendsCommentsIsContinuedElsewhere() {
		FakeUpstream stalled = this.fixture.upstream("u1", "resumes", (request, out, connection) -> {
			Script.send(out, Script.head(request, "200 OK", "Seal: s1\r\n") + "id: 1\ndata: piece 1\n\n");
			trickle(connection, ":\n\n");
		});
		assertContinued(stalled);
	}

	@Test
	public void testSlowStreamIsNotCut() {
		this.fixture.upstream("u1", "streams", (request, out, connection) -> {
			Script.send(out, Script.head(request, "200 OK", "Seal: s1\r\nTransfer-Encoding: chunked\r\n"));
			for (int id = 1; id <= 3; id++) {
				pause(700);
				String event = "id: " + id + "\ndata: piece " + id + "\n\n";
				Script.send(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
			}
			Script.send(out, "0\r\n\r\n");
		});
		String answer = this.fixture.call("/stream/1", "a", "");
		assertTrue(answer.contains("piece 3") && answer.endsWith("0\r\n\r\n"), answer);
	}

	private void assertContinued(FakeUpstream stalled) {
		this.fixture.upstream("u2", "resumes", Script.events(EVENTS, "0\r\n\r\n"));
		GatewayFixture.await("the stalled one was tried", () -> {
			String answer = this.fixture.call("/resume/1", "a", "");
			assertTrue(answer.contains("piece " + EVENTS) && answer.endsWith("0\r\n\r\n"), answer);
			return !stalled.requests().isEmpty();
		});
	}

	private void refusedAndClosed(String path, String service, String start, String rest) {
		FakeUpstream upstream = this.fixture.upstream("u1", service, endless(start, rest));
		String answer = this.fixture.call(path, "a", "");
		assertFalse(answer.startsWith("HTTP/1.1 200") && answer.endsWith("0\r\n\r\n"), answer);
		assertFalse(answer.startsWith("HTTP/1.1 503") || answer.startsWith("HTTP/1.1 429"),
				"the upstream may have run the request: " + answer + this.fixture.log());
		GatewayFixture.await("closed", () -> upstream.closes().size() == 1);
		assertTrue(this.sent.get() < GREATEST_READ, this.sent.get() + " bytes were read");
		assertEquals(upstream.requests().size(), 1);
	}

	private Script endless(String start, String rest) {
		return (request, out, connection) -> {
			Script.send(out, start.replace("ID", FakeUpstream.header(request, "id")));
			byte[] bytes = rest.getBytes();
			while (true) {
				out.write(bytes);
				this.sent.addAndGet(bytes.length);
			}
		};
	}

	private static void trickle(Socket connection, String bytes) throws IOException {
		while (true) {
			pause(100);
			Script.send(connection.getOutputStream(), bytes);
		}
	}

	private static void pause(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
