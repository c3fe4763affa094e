import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Stands for the platform's store: keyed topics with one partition each. Operators and
 * engines write to it directly, gateways by HTTP.
 */
final class Store implements Closeable {

	/**
	 * The time that the store takes for an answer, in milliseconds.
	 */
	private static final long ANSWER_MILLIS = 4;

	private final Map<String, List<Entry>> topics = new HashMap<>();

	private final HttpServer server;

	Store(int port) throws IOException {
		this.server = new HttpServer(port, this::handle);
	}

	int port() {
		return this.server.port();
	}

	/**
	 * Writes a record as the operator or an engine, which is confirmed on return.
	 * @param topic the topic
	 * @param key the key
	 * @param value the value, empty to drop the key
	 */
	synchronized void write(String topic, String key, String value) {
		topic(topic).add(new Entry(key, value.getBytes(StandardCharsets.UTF_8)));
		notifyAll();
	}

	private List<Entry> topic(String name) {
		return this.topics.computeIfAbsent(name, (key) -> new ArrayList<>());
	}

	private boolean handle(HttpMessage call, HttpServer.Exchange exchange) throws IOException {
		pause(ANSWER_MILLIS);
		serve(call, exchange);
		return true;
	}

	private void serve(HttpMessage call, HttpServer.Exchange exchange) throws IOException {
		switch (call.path()) {
			case "/-/log-append" -> exchange.answer(200, "Content-Type: application/json\r\n",
					("{\"offset\":" + append(call) + "}").getBytes(StandardCharsets.UTF_8));
			case "/-/log-newest" -> exchange.answer(200, "Content-Type: application/json\r\n",
					newest(call.parameter("topic")).getBytes(StandardCharsets.UTF_8));
			case "/-/log-read" -> exchange.answer(200, "", read(call.parameter("topic"),
					Integer.parseInt(call.parameter("from")), Long.parseLong("0" + call.parameter("wait_ms"))));
			default -> exchange.answer(404, "", new byte[0]);
		}
	}

	private synchronized int append(HttpMessage call) {
		String topic = call.parameter("topic");
		ByteBuffer records = ByteBuffer.wrap(call.body());
		int first = topic(topic).size();
		while (records.remaining() >= Integer.BYTES) {
			byte[] record = new byte[records.getInt()];
			records.get(record);
			int keyLength = record[0] & 0xff;
			byte[] value = new byte[record.length - 1 - keyLength];
			System.arraycopy(record, 1 + keyLength, value, 0, value.length);
			topic(topic).add(new Entry(new String(record, 1, keyLength, StandardCharsets.UTF_8), value));
		}
		notifyAll();
		return first;
	}

	private synchronized String newest(String topic) {
		Map<String, String> items = new LinkedHashMap<>();
		List<Entry> entries = topic(topic);
		for (int offset = 0; offset < entries.size(); offset++) {
			Entry entry = entries.get(offset);
			items.remove(entry.key());
			if (entry.value().length > 0) {
				items.put(entry.key(), "{\"key\":\"" + entry.key() + "\",\"value\":\""
						+ Base64.getEncoder().encodeToString(entry.value()) + "\",\"offset\":" + offset + "}");
			}
		}
		return "{\"items\":[" + String.join(",", items.values()) + "],\"truncated\":false,\"end\":" + entries.size()
				+ "}";
	}

	private synchronized byte[] read(String topic, int from, long waitMillis) throws IOException {
		List<Entry> entries = topic(topic);
		long end = System.nanoTime() + waitMillis * 1_000_000;
		for (long left = waitMillis; entries.size() <= from && left > 0; left = (end - System.nanoTime()) / 1_000_000) {
			try {
				wait(left);
			}
			catch (InterruptedException ex) {
				throw new IOException(ex);
			}
		}
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		bytes.write(ByteBuffer.allocate(2 * Long.BYTES).putLong(entries.size()).putLong(0).array());
		for (Entry entry : entries.subList(Math.min(from, entries.size()), entries.size())) {
			bytes.write(entry.encoded());
		}
		return bytes.toByteArray();
	}

	static void pause(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	@Override
	public void close() {
		this.server.close();
	}

	/**
	 * A record.
	 *
	 * @param key the key
	 * @param value the value, empty if the key is dropped
	 */
	private record Entry(String key, byte[] value) {

		byte[] encoded() {
			byte[] name = this.key.getBytes(StandardCharsets.UTF_8);
			return ByteBuffer.allocate(Integer.BYTES + 1 + name.length + this.value.length)
				.putInt(1 + name.length + this.value.length)
				.put((byte) name.length)
				.put(name)
				.put(this.value)
				.array();
		}

	}

}
