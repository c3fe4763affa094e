import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * A stand-in of the platform's metadata store: topics with one partition that keep the newest record
 * of each key.
 */
final class Store implements AutoCloseable {

	private static final int MAX_WAIT_MILLIS = 30_000;

	private final Map<String, Topic> topics = new HashMap<>();

	private final HttpServer server;

	Store() throws IOException {
		System.setProperty("sun.net.httpserver.nodelay", "true");
		this.server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
		this.server.setExecutor(Executors.newCachedThreadPool((task) -> {
			Thread thread = new Thread(task, "store");
			thread.setDaemon(true);
			return thread;
		}));
		this.server.createContext("/-/log-newest", this::newest);
		this.server.createContext("/-/log-read", this::read);
		this.server.createContext("/-/log-append", this::append);
		this.server.start();
	}

	int port() {
		return this.server.getAddress().getPort();
	}

	synchronized void put(String topic, String key, String value) {
		topic(topic).add(key, value.getBytes(StandardCharsets.UTF_8));
		notifyAll();
	}

	synchronized void drop(String topic, String key) {
		topic(topic).add(key, new byte[0]);
		notifyAll();
	}

	/** Deletes all records but the newest of each key. */
	synchronized void deleteHistory(String topic) {
		topic(topic).first = topic(topic).end();
		notifyAll();
	}

	private Topic topic(String name) {
		return this.topics.computeIfAbsent(name, (key) -> new Topic());
	}

	private void newest(HttpExchange exchange) throws IOException {
		Map<String, String> query = query(exchange);
		StringBuilder items = new StringBuilder();
		long end;
		synchronized (this) {
			Topic topic = topic(query.get("topic"));
			end = topic.end();
			for (Map.Entry<String, Entry> newest : topic.newest.entrySet()) {
				items.append((items.length() == 0) ? "" : ",")
					.append("{\"key\":\"" + newest.getKey() + "\",\"value\":\""
							+ Base64.getEncoder().encodeToString(newest.getValue().value()) + "\",\"offset\":"
							+ newest.getValue().offset() + "}");
			}
		}
		answer(exchange, 200, ("{\"items\":[" + items + "],\"truncated\":false,\"end\":" + end + "}")
			.getBytes(StandardCharsets.UTF_8));
	}

	private void read(HttpExchange exchange) throws IOException {
		Map<String, String> query = query(exchange);
		long from = Long.parseLong(query.get("from"));
		long until = System.nanoTime()
				+ Math.min(Integer.parseInt(query.getOrDefault("wait_ms", "0")), MAX_WAIT_MILLIS) * 1_000_000L;
		byte[] body;
		synchronized (this) {
			Topic topic = topic(query.get("topic"));
			while (from == topic.end() && System.nanoTime() < until) {
				try {
					wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
				}
				catch (InterruptedException ex) {
					throw new IOException(ex);
				}
			}
			body = (from < topic.first || from > topic.end()) ? null : topic.encode(from);
			if (body == null) {
				body = ("{\"first\":" + topic.first + "}").getBytes(StandardCharsets.UTF_8);
				from = -1;
			}
		}
		answer(exchange, (from < 0) ? 410 : 200, body);
	}

	private void append(HttpExchange exchange) throws IOException {
		String name = query(exchange).get("topic");
		ByteBuffer body = ByteBuffer.wrap(exchange.getRequestBody().readAllBytes());
		if (name.equals("keyed.op") || name.equals("keyed.servers")) {
			answer(exchange, 403, new byte[0]);
			return;
		}
		long offset;
		long end;
		synchronized (this) {
			Topic topic = topic(name);
			offset = topic.end();
			while (body.hasRemaining()) {
				byte[] record = new byte[body.getInt()];
				body.get(record);
				int length = record[0] & 0xff;
				byte[] value = new byte[record.length - 1 - length];
				System.arraycopy(record, 1 + length, value, 0, value.length);
				topic.add(new String(record, 1, length, StandardCharsets.UTF_8), value);
			}
			end = topic.end();
			notifyAll();
		}
		answer(exchange, 200, ("{\"offset\":" + offset + ",\"end\":" + end + "}").getBytes(StandardCharsets.UTF_8));
	}

	private static void answer(HttpExchange exchange, int status, byte[] body) throws IOException {
		exchange.getResponseHeaders().set("Store-Era", "0");
		exchange.sendResponseHeaders(status, (body.length == 0) ? -1 : body.length);
		if (body.length > 0) {
			exchange.getResponseBody().write(body);
		}
		exchange.close();
	}

	private static Map<String, String> query(HttpExchange exchange) {
		Map<String, String> query = new HashMap<>();
		for (String pair : exchange.getRequestURI().getQuery().split("&")) {
			query.put(pair.substring(0, pair.indexOf('=')), pair.substring(pair.indexOf('=') + 1));
		}
		return query;
	}

	@Override
	public void close() {
		this.server.stop(0);
	}

	private record Entry(long offset, byte[] value) {
	}

	private static final class Topic {

		private final List<byte[]> records = new ArrayList<>();

		private final Map<String, Entry> newest = new LinkedHashMap<>();

		private long first;

		long end() {
			return this.records.size();
		}

		void add(String key, byte[] value) {
			byte[] name = key.getBytes(StandardCharsets.UTF_8);
			ByteBuffer record = ByteBuffer.allocate(Integer.BYTES + 1 + name.length + value.length);
			record.putInt(1 + name.length + value.length).put((byte) name.length).put(name).put(value);
			this.newest.remove(key);
			if (value.length > 0) {
				this.newest.put(key, new Entry(end(), value));
			}
			this.records.add(record.array());
		}

		byte[] encode(long from) {
			List<byte[]> tail = this.records.subList((int) from, this.records.size());
			ByteBuffer body = ByteBuffer.allocate(2 * Long.BYTES + tail.stream().mapToInt((bytes) -> bytes.length).sum());
			body.putLong(end()).putLong(this.first);
			tail.forEach(body::put);
			return body.array();
		}

	}

}
