package org.ebonyford.router.platform;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpServer;
import org.apache.hc.client5.http.impl.async.CloseableHttpAsyncClient;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests {@link JsonReader}.
 */
public class JsonReaderTest {

	private static final long SHORT_MILLIS = 300;

	private static final long GENEROUS_MILLIS = 120_000;

	private CloseableHttpAsyncClient client;

	private JsonReader reader;

	@BeforeClass
	public void open() {
		this.client = JsonReader.client(GENEROUS_MILLIS);
		this.reader = new JsonReader(this.client, new ObjectMapper());
	}

	@AfterClass
	public void close() throws IOException {
		this.client.close();
	}

	@Test
	public void testDocumentIsRead() throws Exception {
		HttpServer server = HttpServer.create(new java.net.InetSocketAddress("127.0.0.1", 0), 0);
		server.createContext("/", (exchange) -> {
			exchange.sendResponseHeaders(200, 7);
			exchange.getResponseBody().write("{\"a\":1}".getBytes());
			exchange.close();
		});
		server.start();
		try {
			assertEquals(
					read(server.getAddress().getPort(), GENEROUS_MILLIS).get(GENEROUS_MILLIS, TimeUnit.MILLISECONDS)
						.path("a")
						.asInt(),
					1);
		}
		finally {
			server.stop(0);
		}
	}

	@Test
	public void testSilentServiceDoesNotUseUpTheConnections() throws Exception {
		int port;
		try (ServerSocket silent = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))) {
			port = silent.getLocalPort();
			List<CompletableFuture<JsonNode>> calls = new ArrayList<>();
			for (int index = 0; index < 20; index++) {
				calls.add(read(port, SHORT_MILLIS));
			}
			for (CompletableFuture<JsonNode> call : calls) {
				assertTrue(call.handle((document, ex) -> ex != null).get(GENEROUS_MILLIS, TimeUnit.MILLISECONDS));
			}
		}
		HttpServer server = HttpServer.create(new java.net.InetSocketAddress("127.0.0.1", port), 0);
		server.createContext("/", (exchange) -> {
			exchange.sendResponseHeaders(200, 2);
			exchange.getResponseBody().write("{}".getBytes());
			exchange.close();
		});
		server.start();
		try {
			assertTrue(read(port, GENEROUS_MILLIS).get(GENEROUS_MILLIS, TimeUnit.MILLISECONDS).isObject());
		}
		finally {
			server.stop(0);
		}
	}

	@Test
	public void testConnectionIsKeptAfterWholeAnswer() throws Exception {
		Set<Integer> callers = ConcurrentHashMap.newKeySet();
		HttpServer server = HttpServer.create(new java.net.InetSocketAddress("127.0.0.1", 0), 0);
		server.createContext("/", (exchange) -> {
			callers.add(exchange.getRemoteAddress().getPort());
			exchange.sendResponseHeaders(200, 2);
			exchange.getResponseBody().write("{}".getBytes());
			exchange.close();
		});
		server.start();
		try {
			for (int index = 0; index < 20; index++) {
				read(server.getAddress().getPort(), GENEROUS_MILLIS).get(GENEROUS_MILLIS, TimeUnit.MILLISECONDS);
			}
			assertTrue(callers.size() <= 2, "connections: " + callers.size());
		}
		finally {
			server.stop(0);
		}
	}

	private CompletableFuture<JsonNode> read(int port, long timeout) {
		return this.reader.read("http://127.0.0.1:" + port + "/", JsonNode.class, timeout);
	}

}
