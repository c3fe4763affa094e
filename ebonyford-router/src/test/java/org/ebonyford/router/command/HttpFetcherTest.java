package org.ebonyford.router.command;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionException;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

/**
 * Tests {@link HttpFetcher}.
 */
public class HttpFetcherTest {

	private static final Duration GENEROUS = Duration.ofSeconds(120);

	private static final Duration SHORT = Duration.ofMillis(500);

	private final HttpFetcher fetcher = new HttpFetcher(GENEROUS);

	private HttpServer server;

	@BeforeClass
	public void start() throws IOException {
		this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
		this.server.createContext("/", HttpFetcherTest::answer);
		this.server.start();
	}

	@AfterClass
	public void stop() {
		this.server.stop(0);
	}

	@Test
	public void testDocumentIsReadWithTheSecret() {
		assertEquals(this.fetcher.fetch(address("/"), Optional.of("s3cret")).join(), "Bearer s3cret");
	}

	@Test
	public void testOtherStatusIsAFailure() {
		Throwable cause = failure(this.fetcher, address("/refused"));
		assertEquals(cause.getMessage(), address("/refused") + " cannot be read: the answer is 401");
	}

	@Test
	public void testSilentServerIsAFailure() {
		assertEquals(failure(new HttpFetcher(SHORT), address("/silent")).getClass(), CommandException.class);
	}

	private static Throwable failure(HttpFetcher reader, URI address) {
		return expectThrows(CompletionException.class, () -> reader.fetch(address, Optional.empty()).join()).getCause();
	}

	private URI address(String path) {
		return URI.create("http://127.0.0.1:" + this.server.getAddress().getPort() + path);
	}

	private static void answer(HttpExchange exchange) throws IOException {
		if (exchange.getRequestURI().getPath().equals("/silent")) {
			return;
		}
		byte[] body = String.valueOf(exchange.getRequestHeaders().getFirst("Authorization"))
			.getBytes(StandardCharsets.UTF_8);
		exchange.sendResponseHeaders(exchange.getRequestURI().getPath().equals("/refused") ? 401 : 200, body.length);
		exchange.getResponseBody().write(body);
		exchange.close();
	}

}
