package org.ebonyford.gateway.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.ebonyford.catalog.CallerLimits;
import org.ebonyford.gateway.process.FakeUpstream.Script;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Upstreams that break off in the head of an answer, or reset one without a length.
 */
public class BrokenAnswerTest {

	private static final String[] ROUTES = { "reads", "pays", "streams", "models" };

	private GatewayFixture fixture;

	@BeforeMethod
	public void start() {
		this.fixture = new GatewayFixture().configured();
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws IOException {
		this.fixture.close();
	}

	@DataProvider
	public Object[][] heads() {
		List<Object[]> cases = new ArrayList<>();
		for (String service : ROUTES) {
			for (String head : new String[] { "HTTP/1.1 2", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nSeal: s1\r\n",
					"HTTP/1.1 200 OK\r\nSeal: s1\r\nContent-Length: 1",
					"HTTP/1.1 200 OK\r\nSeal: s1\r\nContent-Length: 12\r\n",
					"HTTP/1.1 200 OK\r\nSeal: s1\r\nContent-Length: 12\r\n\r",
					"HTTP/1.1 200 OK\r\nSeal: s1\r\nTransfer-Encoding: chunked\r\n" }) {
				cases.add(new Object[] { service, head });
			}
		}
		return cases.toArray(Object[][]::new);
	}

	@Test(dataProvider = "heads")
	public void testHeadThatBreaksOffIsNoAnswer(String service, String head) {
		FakeUpstream upstream = this.fixture.upstream("u1", service, (request, out, connection) -> {
			Script.send(out, head);
			connection.close();
		});
		String answer = call(service);
		assertFalse(upstream.requests().isEmpty(), "nothing was sent");
		assertTrue(answer.startsWith("HTTP/1.1 502"), answer + this.fixture.log());
	}

	@DataProvider
	public Object[][] bodies() {
		List<Object[]> cases = new ArrayList<>();
		for (String service : ROUTES) {
			for (String body : new String[] { "", "abc" }) {
				cases.add(new Object[] { service, body });
			}
		}
		return cases.toArray(Object[][]::new);
	}

	@Test(dataProvider = "bodies")
	public void testAnswerWithoutALengthThatIsResetDoesNotLookComplete(String service, String body) {
		this.fixture.upstream("u1", service, (request, out, connection) -> {
			Script.send(out, Script.head(request, "200 OK", "Seal: s1\r\n") + body);
			connection.setSoLinger(true, 0);
			connection.close();
		});
		String answer = call(service);
		boolean whole = answer.contains("\r\nContent-Length: ") || answer.contains("\r\ncontent-length: ")
				|| answer.endsWith("0\r\n\r\n");
		assertFalse(answer.startsWith("HTTP/1.1 200") && whole, answer + this.fixture.log());
	}

	@DataProvider
	public Object[][] services() {
		return Stream.of(ROUTES).map((service) -> new Object[] { service }).toArray(Object[][]::new);
	}

	@Test(dataProvider = "services")
	public void testAnswerThatEndsJustAfterAHeadWithoutALengthIsNotWhole(String service) {
		this.fixture.upstream("u1", service, (request, out, connection) -> {
			Script.send(out, Script.head(request, "200 OK", "Seal: s1\r\n"));
			connection.close();
		});
		String answer = call(service);
		assertTrue(answer.startsWith("HTTP/1.1 502"), answer + this.fixture.log());
	}

	@Test(dataProvider = "services")
	public void testAnswerWithoutALengthIsPassedOn(String service) {
		this.fixture.upstream("u1", service, (request, out, connection) -> {
			Script.send(out, Script.head(request, "200 OK", "Seal: s1\r\n") + "id: 1\ndata: piece 1\n\n");
			connection.close();
		});
		String answer = call(service);
		assertTrue(answer.startsWith("HTTP/1.1 200") && answer.contains("piece 1"), answer + this.fixture.log());
	}

	@Test
	public void testStreamWithoutALengthThatEndsInsideAnEventCountsAsACrash() {
		this.fixture.upstream("u1", "streams", (request, out, connection) -> {
			Script.send(out, Script.head(request, "200 OK", "Seal: s1\r\n") + "id: 1\ndata: piece 1\n\nid: 2\nda");
			connection.close();
		});
		String answer = call("streams");
		assertFalse(answer.endsWith("0\r\n\r\n"), answer);
		GatewayFixture.await("the crash is told", () -> this.fixture.log().contains("UPSTREAM_CRASHED"));
	}

	@Test
	public void testHeadOfAnAnswerWithoutALengthIsWholeWhereNoMoreWasAskedFor() throws IOException {
		this.fixture.upstream("u1", "reads",
				(request, out, connection) -> Script.send(out, Script.head(request, "200 OK", "Seal: s1\r\n")));
		String request = GatewayFixture.request("/read/1", "a1", "").replaceFirst("POST", "HEAD");
		try (Socket socket = this.fixture.connect()) {
			socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
			String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
			assertTrue(answer.startsWith("HTTP/1.1 200"), answer + this.fixture.log());
		}
	}

	/**
	 * The answers of an upstream that has not read the request, and how it ends the
	 * connection.
	 */
	@DataProvider
	public Object[][] earlyAnswers() {
		List<Object[]> cases = new ArrayList<>();
		for (String service : ROUTES) {
			for (long pauseMillis : new long[] { 0, 20, 200 }) {
				cases.add(new Object[] { service, pauseMillis, true });
				cases.add(new Object[] { service, pauseMillis, false });
			}
		}
		return cases.toArray(Object[][]::new);
	}

	@Test(dataProvider = "earlyAnswers")
	public void testAnswerWithoutALengthThatIsCutWhileTheRequestIsSentDoesNotLookComplete(String service,
			long pauseMillis, boolean reset) throws Exception {
		this.fixture.limit(new CallerLimits(4_096, 8 << 20, 5_000, 5_000));
		try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
			server.setReceiveBufferSize(4_096);
			this.fixture.register("u1", service, server.getLocalPort(), "dc1", false);
			GatewayFixture.await("upstream", () -> this.fixture.log().contains("\"upstream\":\"u1\""));
			FakeUpstream.thread(() -> answerEarly(server, pauseMillis, reset));
			String answer = this.fixture.send(longRequest(service));
			boolean whole = answer.contains("\r\nContent-Length: ") || answer.contains("\r\ncontent-length: ")
					|| answer.endsWith("0\r\n\r\n");
			assertFalse(answer.startsWith("HTTP/1.1 200") && whole, answer + this.fixture.log());
		}
	}

	private static String longRequest(String service) {
		String path = "/" + service.substring(0, service.length() - 1) + "/1";
		int length = 6 << 20;
		return "POST " + path + " HTTP/1.1\r\nHost: acme.example\r\nId: a1\r\nAuthorization: Bearer "
				+ GatewayFixture.KEY + "\r\nConnection: close\r\n" + (service.equals("models") ? "Tokens: 100\r\n" : "")
				+ "Content-Length: " + length + "\r\n\r\n" + "x".repeat(length);
	}

	private static void answerEarly(ServerSocket server, long pauseMillis, boolean reset) {
		try {
			while (true) {
				Socket socket = server.accept();
				socket.getInputStream().readNBytes(1_000);
				Script.send(socket.getOutputStream(),
						"HTTP/1.1 200 OK\r\nId: a1\r\nSeal: s1\r\n\r\nid: 1\ndata: piece 1\n\n");
				Thread.sleep(pauseMillis);
				socket.setSoLinger(reset, 0);
				socket.close();
			}
		}
		catch (IOException | InterruptedException ex) {
			// The test has ended.
		}
	}

	private String call(String service) {
		String path = "/" + service.substring(0, service.length() - 1) + "/1";
		return this.fixture.call(path, "a1", service.equals("models") ? "Tokens: 100\r\n" : "");
	}

}
