package org.ebonyford.gateway.process;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.ebonyford.gateway.process.FakeUpstream.Script;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against answers of upstreams in trouble whose head is not one of HTTP and which
 * reach callers all the same.
 */
public class InvalidHeadTest {

	private static final String[] SERVICES = { "reads", "pays", "streams" };

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
	public Object[][] statusLines() {
		return cases("HTTP/1.1 000 None", "HTTP/1.1 001 None", "HTTP/1.1 099 Low", "HTTP/1.1 600 High",
				"HTTP/1.1 2000 Long", "HTTP/1.1 +200 Signed", "HTTP/1.1 0200 Padded", "HTTP/1.1 -200 Negative",
				"HTTP/1.1\t200 OK", "HTTP/1.1  200 OK", "HTTP/1.1 200\tOK", " HTTP/1.1 200 OK");
	}

	@Test(dataProvider = "statusLines")
	public void testAnswerWithAnInvalidStatusLineIsNotPassedOn(String service, String statusLine) {
		assertRejected(service, statusLine, "");
	}

	@DataProvider
	public Object[][] fields() {
		return casesOf(List.of("pays", "streams"), "X Note: a", "X\tNote: a", "Note : a", "Note\t: a", " Note: a",
				"\tNote: a", "No\u0001te: a", "No\u007fte: a", "No\u00e9te: a", "No\rte: a", ": a", "Note",
				"Content Length: 3", "Transfer-Encoding : chunked", "No(te: a");
	}

	@Test(dataProvider = "fields")
	public void testAnswerWithAnInvalidFieldIsNotPassedOn(String service, String field) {
		assertRejected(service, "HTTP/1.1 200 OK", field + "\r\n");
	}

	@Test(dataProvider = "fields")
	public void testFailureWithAnInvalidFieldIsNotPassedOn(String service, String field) {
		assertRejected(service, "HTTP/1.1 500 Failed", field + "\r\n");
	}

	@Test(dataProvider = "fields")
	public void testAnswerWithAnInvalidFieldIsNotPassedOnThoughItComesInPieces(String service, String field) {
		FakeUpstream upstream = this.fixture.upstream("u1", service, (request, out, connection) -> {
			String answer = answer(request, "HTTP/1.1 200 OK", field + "\r\n");
			for (int from = 0; from < answer.length(); from += 7) {
				Script.send(out, answer.substring(from, Math.min(from + 7, answer.length())));
				pause();
			}
		});
		assertNotPassedOn(upstream, service);
	}

	@DataProvider
	public Object[][] soundHeads() {
		return cases("HTTP/1.1 200 OK", "HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.1 299 Any \u00e9 reason");
	}

	@Test(dataProvider = "soundHeads")
	public void testAnswerWithAValidHeadIsPassedOn(String service, String statusLine) {
		this.fixture.upstream("u1", service, (request, out, connection) -> Script.send(out,
				answer(request, statusLine, "X-Odd!#$%&'*+.^_`|~1:\r\n")));
		String answer = call(service);
		assertTrue(answer.startsWith("HTTP/1.1 2") && answer.contains("piece 1"), answer + this.fixture.log());
	}

	private static Object[][] cases(String... texts) {
		return casesOf(List.of(SERVICES), texts);
	}

	private static Object[][] casesOf(List<String> services, String... texts) {
		List<Object[]> cases = new ArrayList<>();
		for (String service : services) {
			for (String text : texts) {
				cases.add(new Object[] { service, text });
			}
		}
		return cases.toArray(Object[][]::new);
	}

	private void assertRejected(String service, String statusLine, String fields) {
		FakeUpstream upstream = this.fixture.upstream("u1", service,
				(request, out, connection) -> Script.send(out, answer(request, statusLine, fields)));
		assertNotPassedOn(upstream, service);
	}

	private void assertNotPassedOn(FakeUpstream upstream, String service) {
		String answer = call(service);
		assertFalse(upstream.requests().isEmpty(), "nothing was sent");
		assertTrue(answer.startsWith("HTTP/1.1 502 "), answer + this.fixture.log());
		assertFalse(answer.contains("Seal: "), answer);
	}

	private static String answer(String request, String statusLine, String fields) {
		String body = "id: 1\ndata: piece 1\n\n";
		return statusLine + "\r\nId: " + FakeUpstream.header(request, "id") + "\r\nSeal: s1\r\n" + fields
				+ "Content-Length: " + body.length() + "\r\n\r\n" + body;
	}

	private String call(String service) {
		String path = "/" + service.substring(0, service.length() - 1) + "/1";
		return this.fixture.call(path, "a1", service.equals("models") ? "Tokens: 100\r\n" : "");
	}

	private static void pause() {
		try {
			Thread.sleep(2);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
