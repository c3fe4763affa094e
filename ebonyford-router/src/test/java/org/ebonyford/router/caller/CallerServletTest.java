package org.ebonyford.router.caller;

import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.ebonyford.effect.Effect;
import org.ebonyford.event.Event;
import org.ebonyford.request.Outcome;
import org.ebonyford.request.Refusal;
import org.ebonyford.request.RefusalReason;
import org.ebonyford.request.Request;
import org.ebonyford.time.Clock;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

/**
 * Tests {@link CallerServlet}.
 */
public class CallerServletTest {

	private static final String CHAT = "POST /v1/chat/completions";

	private static final String GOOD = "{\"model\":\"llm\"}";

	private static final String KEY = "Authorization: Bearer " + CallerServer.KEY + "\r\n";

	private static final long IDLE_MILLIS = 700;

	private static final long SHORT_MILLIS = 1_000;

	@DataProvider
	public Object[][] rejections() {
		return new Object[][] { { CHAT, KEY, "{", 400, "malformed" }, { CHAT, KEY, "[]", 400, "malformed" },
				{ CHAT, KEY, "{}", 400, "malformed" }, { CHAT, KEY, GOOD + "x", 400, "malformed" },
				{ CHAT, KEY, "{\"model\":\"llm\",\"model\":\"other\"}", 400, "malformed" },
				{ CHAT, KEY, "{\"model\":\"llm\",\"stream\":1}", 400, "malformed" },
				{ CHAT, KEY, "{\"model\":\"llm\",\"max_tokens\":0}", 400, "malformed" },
				{ CHAT, KEY + "X-Cost-Hint: 0\r\n", GOOD, 400, "malformed" },
				{ CHAT, KEY + "X-Cost-Hint: x\r\n", GOOD, 400, "malformed" },
				{ CHAT, KEY + "X-Request-Timeout-Ms: -1\r\n", GOOD, 400, "malformed" },
				{ CHAT, KEY + "Idempotency-Key: a b\r\n", GOOD, 400, "malformed" },
				{ CHAT, KEY + "Idempotency-Key: a\r\nIdempotency-Key: b\r\n", GOOD, 400, "malformed" },
				{ CHAT, "", GOOD, 401, "unauthenticated" },
				{ CHAT, "Authorization: Bearer wrong\r\n", GOOD, 401, "unauthenticated" },
				{ CHAT, "Authorization: Bearer \r\n", GOOD, 401, "unauthenticated" },
				{ CHAT, "Authorization: Basic " + CallerServer.KEY + "\r\n", GOOD, 401, "unauthenticated" },
				{ CHAT, "Authorization: Bearer " + CallerServer.POOR_KEY + "\r\n", GOOD, 403, "not-entitled" },
				{ CHAT, KEY + "X-Request-Class: other\r\n", GOOD, 403, "not-entitled" },
				{ CHAT, KEY, "{\"model\":\"other\"}", 404, "no-such-pool" },
				{ CHAT, KEY, "{\"model\":\"booking\"}", 404, "no-such-pool" },
				{ "GET /services/llm/x", KEY, "", 404, "no-such-pool" },
				{ "GET /services/booking", KEY, "", 404, "no-such-path" }, { "GET /", KEY, "", 404, "no-such-path" },
				{ "GET /v1/chat/completions", KEY, "", 405, "method-not-allowed" },
				{ "TRACE /services/booking/x", KEY, "", 405, "method-not-allowed" },
				{ CHAT, KEY, "x".repeat(5000), 413, "body-too-large" },
				{ "GET /services/booking/" + "x".repeat(5000), KEY, "", 414, "target-too-long" },
				{ CHAT, KEY + "A: b\r\n".repeat(70), GOOD, 431, "headers-too-large" },
				{ CHAT, KEY + "A: " + "b".repeat(17_000) + "\r\n", GOOD, 431, "headers-too-large" },
				{ CHAT, KEY + "A: " + "b".repeat(90_000) + "\r\n", GOOD, 431, "headers-too-large" } };
	}

	@Test(dataProvider = "rejections")
	public void testRejectionIsProblem(String start, String headers, String body, int status, String reason)
			throws Exception {
		try (CallerServer server = server(10, 100_000, Optional.empty())) {
			String answer = raw(server, start, headers, body);
			assertTrue(answer.startsWith("HTTP/1.1 " + status + " "), answer);
			assertTrue(answer.contains("application/problem+json"), answer);
			assertTrue(answer.contains("\"reason\":\"" + reason + "\""), answer);
			assertTrue(answer.contains("\"outcome\":\"not-run\"") && answer.contains("X-Outcome: not-run"), answer);
			assertEquals(answer.contains("WWW-Authenticate: Bearer"), status == 401);
			assertEquals(server.events(), List.of());
			assertEquals(server.pending().size(), 0);
		}
	}

	@DataProvider
	public Iterator<Object[]> ambiguousPaths() {
		return List
			.of("/../x", "/a/./b", "/a/..", "/%2e%2E/x", "/a//b", "/a%2fb", "/a%5cb", "/..;/x", "/%252e%252e/x",
					"/a%00", "/a\\b", "/a%zz", "/a%0d%0ab")
			.stream()
			.map((path) -> new Object[] { path })
			.iterator();
	}

	@Test(dataProvider = "ambiguousPaths")
	public void testAmbiguousPathReachesNoUpstream(String path) throws Exception {
		try (CallerServer server = server(10, 100_000, Optional.empty())) {
			String answer = raw(server, "GET /services/booking" + path, KEY, "");
			assertTrue(answer.startsWith("HTTP/1.1 400 ") && answer.contains("\"reason\":\"malformed\""), answer);
			assertEquals(server.events(), List.of());
		}
	}

	@Test
	public void testHeldRequestsAreBounded() throws Exception {
		try (CallerServer server = server(1, 100_000, Optional.empty())) {
			server.complete(GOOD);
			server.await(Event.RequestArrived.class, (event) -> true);
			assertTrue(raw(server, CHAT, KEY, GOOD).contains("\"reason\":\"overloaded\""));
			assertEquals(server.pending().size(), 1);
		}
	}

	@Test
	public void testHeldBytesAreBounded() throws Exception {
		try (CallerServer server = server(10, 100, Optional.empty())) {
			assertTrue(raw(server, CHAT, KEY, "x".repeat(200)).contains("\"reason\":\"overloaded\""));
			assertEquals(server.pending().size(), 0);
		}
	}

	@Test
	public void testUnknownLengthIsBoundedToo() throws Exception {
		try (CallerServer server = server(10, 100_000, Optional.empty())) {
			String body = "1388\r\n" + "x".repeat(5000) + "\r\n0\r\n\r\n";
			String answer = send(server,
					CHAT + " HTTP/1.1\r\nHost: x\r\n" + KEY + "Transfer-Encoding: chunked\r\n\r\n" + body);
			assertTrue(answer.startsWith("HTTP/1.1 413 "), answer);
		}
	}

	@Test
	public void testSlowBodyArrivesWhole() throws Exception {
		try (CallerServer server = server(10, 100_000, Optional.empty()); Socket socket = server.connect()) {
			sendSlowly(socket, 20, 20, 15);
			Request request = server.await(Event.RequestArrived.class, (event) -> true).request();
			assertEquals(server.pending().find(request.id()).orElseThrow().content().body().length, 20);
		}
	}

	@Test
	public void testBodyHasToArriveInTime() throws Exception {
		CallerSettings settings = settings(10, 100_000, SHORT_MILLIS);
		try (CallerServer server = new CallerServer(settings, CallerServer.settings(0),
				Optional.of(CallerServer.configuration()), (event) -> List.of()); Socket socket = server.connect()) {
			assertThrows(IOException.class, () -> sendSlowly(socket, 200, 200, 100));
			assertEquals(server.events(), List.of());
			assertEquals(server.pending().size(), 0);
		}
	}

	@DataProvider
	public Object[][] departures() {
		return new Object[][] { { (Departure) (socket, server) -> socket.close() }, { (Departure) (socket, server) -> {
			socket.setSoLinger(true, 0);
			socket.close();
		} }, { (Departure) (socket, server) -> server.closeIdle(IDLE_MILLIS) } };
	}

	@Test(dataProvider = "departures")
	public void testDepartureDuringTheBodyFreesItsPlace(Departure departure) throws Exception {
		try (CallerServer server = server(10, 100_000, Optional.empty()); Socket socket = server.connect()) {
			sendSlowly(socket, 200, 3, 20);
			CallerServer.await("the place to be taken", () -> server.pending().size() == 1);
			departure.from(socket, server);
			CallerServer.await("the place to be free", () -> server.pending().size() == 0);
		}
	}

	@Test
	public void testOlderProtocolIsRejected() throws Exception {
		try (CallerServer server = server(10, 100_000, Optional.empty())) {
			String answer = send(server, "GET /services/booking/x HTTP/1.0\r\nHost: x\r\n" + KEY + "\r\n");
			assertTrue(answer.contains("505 ") && answer.contains("\"reason\":\"http-version\""), answer);
		}
	}

	@Test
	public void testNothingIsTakenWithoutConfiguration() throws Exception {
		try (CallerServer server = new CallerServer(CallerSettings.defaults(), CallerServer.settings(0),
				Optional.empty(), (event) -> List.of())) {
			String answer = raw(server, CHAT, KEY, GOOD);
			assertTrue(answer.startsWith("HTTP/1.1 503 ") && answer.contains("\"reason\":\"not-ready\""), answer);
			assertTrue(answer.contains("Retry-After: 1"), answer);
		}
	}

	@DataProvider
	public Iterator<Object[]> refusals() {
		return Arrays.stream(RefusalReason.values()).map((reason) -> new Object[] { reason }).iterator();
	}

	@Test(dataProvider = "refusals")
	public void testRefusalIsProblem(RefusalReason reason) throws Exception {
		Refusal refusal = new Refusal(reason, Outcome.UNKNOWN, OptionalLong.of(1500));
		try (CallerServer server = server(10, 100_000, Optional.of(refusal))) {
			HttpResponse<String> answer = server.call("POST", "/v1/chat/completions", GOOD);
			String label = reason.name().toLowerCase(Locale.ROOT).replace('_', '-');
			assertEquals(answer.statusCode(), reason.status());
			assertEquals(answer.headers().firstValue("Retry-After").orElse(""), "2");
			assertTrue(answer.body()
				.endsWith("\"status\":" + reason.status() + ",\"detail\":\"The request may have run.\","
						+ "\"outcome\":\"unknown\",\"reason\":\"" + label
						+ "\",\"requestId\":\"r-1\",\"retryAfterMs\":1500}"),
					answer.body());
			assertEquals(server.registry().counter("callers.refusals." + label).getCount(), 1);
		}
	}

	@Test
	public void testFactsOfRequest() throws Exception {
		Refusal refusal = new Refusal(RefusalReason.STOPPING, Outcome.NOT_RUN, OptionalLong.empty());
		try (CallerServer server = server(10, 100_000, Optional.of(refusal))) {
			raw(server, CHAT, KEY, GOOD);
			long before = Clock.ForSystem.INSTANCE.millis();
			raw(server, CHAT, KEY + "X-Request-Timeout-Ms: 99999999\r\nX-Request-Class: chat\r\n",
					"{\"model\":\"llm\",\"max_tokens\":77}");
			raw(server, "PUT /services/booking/x", KEY + "X-Cost-Hint: 5\r\nIdempotency-Key: k\r\n", "");
			List<Request> facts = server.events()
				.stream()
				.map((event) -> ((Event.RequestArrived) event).request())
				.toList();
			assertEquals(facts.stream().map(Request::costHint).toList(), List.of(256L, 77L, 5L));
			assertEquals(facts.stream().map((fact) -> fact.requestClass().value()).toList(),
					List.of("batch", "chat", "batch"));
			assertTrue(facts.get(1).deadline() >= before + 2 * CallerServer.PATIENCE_MILLIS);
			assertTrue(facts.get(1).deadline() <= server.events().get(1).at() + 2 * CallerServer.PATIENCE_MILLIS);
			assertEquals(facts.get(2).key().orElseThrow().value(), "k");
			assertNotEquals(facts.get(0).fingerprint(), facts.get(1).fingerprint());
		}
	}

	private static void sendSlowly(Socket socket, int length, int count, long pause) throws Exception {
		String head = "PUT /services/booking/x HTTP/1.1\r\nHost: x\r\n" + KEY + "Content-Length: " + length
				+ "\r\n\r\n";
		socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
		for (int each = 0; each < count; each++) {
			Thread.sleep(pause);
			socket.getOutputStream().write('x');
		}
	}

	private static CallerServer server(int requests, long bytes, Optional<Refusal> refusal) throws Exception {
		return new CallerServer(settings(requests, bytes, CallerServer.PATIENCE_MILLIS), CallerServer.settings(0),
				Optional.of(CallerServer.configuration()),
				(event) -> (event instanceof Event.RequestArrived arrived && refusal.isPresent())
						? List.of(new Effect.Refuse(arrived.request().id(), refusal.get())) : List.of());
	}

	private static CallerSettings settings(int requests, long bytes, long timeout) {
		return new CallerSettings(4000, bytes, 16_384, 64, timeout, 2 * timeout, requests, CallerServer.PATIENCE_MILLIS,
				65_536, 50);
	}

	private static String raw(CallerServer server, String start, String headers, String body) throws Exception {
		return send(server, start + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: " + body.length()
				+ "\r\n" + headers + "\r\n" + body);
	}

	private static String send(CallerServer server, String request) throws Exception {
		try (Socket socket = server.connect()) {
			socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
			return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
		}
	}

	/**
	 * A way to leave a connection.
	 */
	@FunctionalInterface
	private interface Departure {

		/**
		 * Leaves the connection.
		 * @param socket the connection
		 * @param server the data path
		 * @throws Exception if it is closed already
		 */
		void from(Socket socket, CallerServer server) throws Exception;

	}

}
