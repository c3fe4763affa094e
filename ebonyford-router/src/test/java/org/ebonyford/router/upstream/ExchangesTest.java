package org.ebonyford.router.upstream;

import java.net.http.HttpResponse;

import org.testng.annotations.Test;

import org.ebonyford.event.Event;
import org.ebonyford.request.Ending;
import org.ebonyford.router.caller.CallerServer;

import static org.testng.Assert.assertEquals;

/**
 * Tests {@link Exchanges}.
 */
public class ExchangesTest {

	private static final String STREAM = "{\"model\":\"llm\",\"stream\":true}";

	private static final String PLAIN = "{\"model\":\"llm\"}";

	private static final String COMPLETIONS = "/v1/chat/completions";

	@Test
	public void testPlainAnswerIsRelayedWithItsCost() throws Exception {
		String body = "{\"choices\":[],\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":4}}";
		try (FakeUpstream upstream = new FakeUpstream(
				(request, wire) -> wire.whole("200 OK", request.id(), "Content-Type: application/json\r\n", body));
				CallerServer server = CallerServer.sending(upstream.address())) {
			HttpResponse<String> answer = server.call("POST", COMPLETIONS, PLAIN);
			assertEquals(answer.body(), body);
			assertEquals(answer.headers().firstValue("X-Outcome").orElse(""), "ran");
			assertEquals(answer.headers().firstValue("X-Request-Id").orElse(""), "r-1");
			Event.ExchangeEnded ended = server.awaitEnd();
			assertEquals(ended.ending(), Ending.COMPLETED);
			assertEquals(ended.cost(), 7);
		}
	}

	@Test
	public void testStreamIsRelayedWithItsCost() throws Exception {
		try (FakeUpstream upstream = new FakeUpstream((request, wire) -> {
			wire.stream(request.id());
			wire.event(0, "{}");
			wire.last(1, 9);
		}); CallerServer server = CallerServer.sending(upstream.address())) {
			HttpResponse<String> answer = server.call("POST", COMPLETIONS, STREAM);
			assertEquals(answer.body(),
					"id: 0\ndata: {}\n\nid: 1\ndata: {\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":8}}\n\n"
							+ "id: 2\ndata: [DONE]\n\n");
			assertEquals(server.awaitEnd().cost(), 9);
		}
	}

	@Test
	public void testRefusedConnectionIsNotSent() throws Exception {
		try (CallerServer server = CallerServer.sending("127.0.0.1:1")) {
			HttpResponse<String> answer = server.call("POST", COMPLETIONS, PLAIN);
			assertEquals(answer.statusCode(), 503);
			assertEquals(server.awaitEnd().ending(), Ending.NOT_SENT);
		}
	}

}
