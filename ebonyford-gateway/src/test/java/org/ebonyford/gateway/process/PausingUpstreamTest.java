package org.ebonyford.gateway.process;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.ebonyford.gateway.process.FakeUpstream.Script;
import org.ebonyford.gateway.store.StoreTopic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against cancelling the attempt at an upstream that pauses before it is known
 * that another upstream can take the request.
 */
public class PausingUpstreamTest {

	private static final int EVENTS = 6;

	/**
	 * Longer than the time after which a repeatable request is tried elsewhere, and
	 * shorter than callers wait for the next event.
	 */
	private static final long PAUSE_MILLIS = 1_600;

	private static final long GRACE_MILLIS = 8_000;

	private GatewayFixture fixture;

	@BeforeMethod
	public void start() {
		this.fixture = new GatewayFixture(GRACE_MILLIS).configured();
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws IOException {
		this.fixture.close();
	}

	/**
	 * Why no other upstream can continue the stream.
	 */
	@DataProvider
	public Object[][] obstacles() {
		Runnable none = () -> {
		};
		Runnable evacuated = () -> {
			this.fixture.store().write(StoreTopic.OPERATOR, "evacuate dc2", "now");
			GatewayFixture.await("evacuated", () -> this.fixture.log().contains("\"active\":true"));
			registerOther("dc2", false);
		};
		Runnable draining = () -> registerOther("dc1", true);
		return new Object[][] { { "none", none }, { "evacuated", evacuated }, { "draining", draining } };
	}

	@Test(dataProvider = "obstacles")
	public void testPausingStreamIsNotCutIfNoOtherUpstreamCanTakeIt(String name, Runnable obstacle) {
		obstacle.run();
		this.fixture.upstream("u1", "resumes", PausingUpstreamTest::pausingStream);
		assertWhole(this.fixture.call("/resume/1", "a", ""));
		GatewayFixture.await("the silence is logged", () -> this.fixture.log().contains("\"event\":\"SILENT\""));
	}

	@Test
	public void testPausingStreamIsNotCutInAPlannedStop() throws Exception {
		this.fixture.upstream("u1", "resumes", PausingUpstreamTest::pausingStream);
		CompletableFuture<String> answer = CompletableFuture.supplyAsync(() -> this.fixture.call("/resume/1", "a", ""));
		GatewayFixture.await("the stream is open", () -> this.fixture.metrics().contains("ebonyford_requests_open 1"));
		CompletableFuture<Void> end = this.fixture.gateway().shutDown();
		assertWhole(answer.get(GRACE_MILLIS, TimeUnit.MILLISECONDS));
		end.get(GRACE_MILLIS, TimeUnit.MILLISECONDS);
	}

	@Test
	public void testSlowAnswerIsNotCutIfNoOtherUpstreamCanTakeTheRequest() {
		FakeUpstream slow = this.fixture.upstream("u1", "reads", (request, out, connection) -> {
			pause(PAUSE_MILLIS);
			Script.ok("late").answer(request, out, connection);
		});
		String answer = this.fixture.call("/read/1", "a", "");
		assertTrue(answer.startsWith("HTTP/1.1 200") && answer.endsWith("late"), answer + this.fixture.log());
		assertEquals(slow.requests().stream().filter((request) -> request.startsWith("POST")).count(), 1);
	}

	/**
	 * The other upstream is registered while the first one pauses. Status checks are
	 * answered at once.
	 */
	@Test
	public void testPausingStreamIsContinuedOnceAnotherUpstreamCanTakeIt() {
		this.fixture.upstream("u1", "resumes", (request, out, connection) -> {
			if (!request.startsWith("POST")) {
				Script.ok("healthy").answer(request, out, connection);
				return;
			}
			Script.send(out, Script.head(request, "200 OK", "Seal: s1\r\nTransfer-Encoding: chunked\r\n")
					+ "13\r\nid: 1\ndata: piece\n\n\r\n");
			pause(PAUSE_MILLIS);
			registerOther("dc1", false);
		});
		assertWhole(this.fixture.call("/resume/1", "a", ""));
	}

	private void registerOther(String dataCentre, boolean draining) {
		try {
			FakeUpstream other = new FakeUpstream(Script.events(EVENTS, "0\r\n\r\n"));
			this.fixture.register("u2", "resumes", other.port(), dataCentre, draining);
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private void assertWhole(String answer) {
		for (int id = 1; id <= EVENTS; id++) {
			assertEquals(answer.split("id: " + id + "\n", -1).length, 2, answer + this.fixture.log());
		}
		assertTrue(answer.endsWith("0\r\n\r\n"), answer + this.fixture.log());
	}

	private static void pausingStream(String request, OutputStream out, Socket connection) throws IOException {
		StringBuilder text = new StringBuilder(
				Script.head(request, "200 OK", "Seal: s1\r\nTransfer-Encoding: chunked\r\n"));
		for (int id = 1; id <= EVENTS; id++) {
			if (id == EVENTS / 2) {
				Script.send(out, text.toString());
				text.setLength(0);
				pause(PAUSE_MILLIS);
			}
			String event = "id: " + id + "\ndata: piece " + id + "\n\n";
			text.append(Integer.toHexString(event.length())).append("\r\n").append(event).append("\r\n");
		}
		Script.send(out, text + "0\r\n\r\n");
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
