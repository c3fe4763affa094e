package org.ebonyford.router.log;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * A log service with one stream on the loopback interface.
 */
final class LogServiceStub implements AutoCloseable {

	final List<byte[]> records = new CopyOnWriteArrayList<>();

	volatile Fault fault = Fault.NONE;

	private final ExecutorService executor = Executors.newCachedThreadPool();

	private final HttpServer server;

	LogServiceStub() {
		try {
			this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		this.server.createContext("/streams/", this::handle);
		this.server.setExecutor(this.executor);
		this.server.start();
	}

	URI address() {
		return URI.create("http://127.0.0.1:" + this.server.getAddress().getPort());
	}

	private void handle(HttpExchange exchange) throws IOException {
		if (this.fault == Fault.UNAVAILABLE) {
			answer(exchange, 503, "");
		}
		else if (exchange.getRequestMethod().equals("POST")) {
			append(exchange);
		}
		else {
			read(exchange);
		}
	}

	private void append(HttpExchange exchange) throws IOException {
		this.records.add(exchange.getRequestBody().readAllBytes());
		if (this.fault == Fault.SILENT) {
			return;
		}
		if (this.fault == Fault.LOST) {
			exchange.close();
			return;
		}
		answer(exchange, 201, "{\"offset\":" + (this.records.size() - 1) + "}");
	}

	private void read(HttpExchange exchange) throws IOException {
		Map<String, Integer> query = Stream.of(exchange.getRequestURI().getQuery().split("&"))
			.map((pair) -> pair.split("="))
			.collect(Collectors.toMap((pair) -> pair[0], (pair) -> Integer.valueOf(pair[1])));
		int from = query.get("from");
		for (int waited = 0; waited < query.get("wait") && from >= this.records.size(); waited += 10) {
			sleep();
		}
		int next = Math.min(this.records.size(), from + query.get("limit"));
		Function<Integer, String> line = (offset) -> "{\"offset\":" + offset + ",\"time\":7,\"body\":\""
				+ Base64.getEncoder().encodeToString(this.records.get(offset)) + "\"}";
		String lines = IntStream.range(from, next).boxed().map(line).collect(Collectors.joining(","));
		answer(exchange, 200,
				"{\"first\":0,\"next\":" + next + ",\"end\":" + this.records.size() + ",\"records\":[" + lines + "]}");
	}

	private static void sleep() {
		try {
			Thread.sleep(10);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static void answer(HttpExchange exchange, int status, String body) throws IOException {
		byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
		exchange.sendResponseHeaders(status, bytes.length);
		exchange.getResponseBody().write(bytes);
		exchange.close();
	}

	@Override
	public void close() {
		this.server.stop(0);
		this.executor.shutdownNow();
	}

	/** What goes wrong with the next calls. */
	enum Fault {

		NONE, UNAVAILABLE, LOST, SILENT

	}

}
