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

	private volatile Disruption disruption = (call) -> Fate.SERVED;

	Store(int port) throws IOException {
		this.server = new HttpServer(port, this::handle);
	}

	int port() {
		return this.server.port();
	}

	/**
	 * Sets what becomes of the gateways' calls from now on.
	 * @param next decides on each call
	 */
	void disrupt(Disruption next) {
		this.disruption = next;
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
		switch (this.disruption.fate(call)) {
			case BUSY -> exchange.answer(503, "", new byte[0]);
			case DONE_LATE -> {
				HttpServer.start(() -> {
					pause(this.disruption.lateMillis());
					append(call);
				});
				return silent(exchange);
			}
			case SERVED -> serve(call, exchange);
		}
		return true;
	}

	/**
	 * Leaves a call without an answer, after which nothing comes on its connection.
	 */
	private static boolean silent(HttpServer.Exchange exchange) throws IOException {
		while (exchange.in().read() >= 0) {
			// What comes is not answered.
		}
		return false;
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

	/**
	 * Returns the key of the first record of an append.
	 * @param call the append
	 * @return the key
	 */
	static String key(HttpMessage call) {
		return new String(call.body(), Integer.BYTES + 1, call.body()[Integer.BYTES] & 0xff, StandardCharsets.UTF_8);
	}

	/**
	 * Returns whether an append drops a key.
	 * @param call the append
	 * @return {@code true} if its record has no value
	 */
	static boolean drops(HttpMessage call) {
		return call.body().length == Integer.BYTES + 1 + (call.body()[Integer.BYTES] & 0xff);
	}

	@Override
	public void close() {
		this.server.close();
	}

	/**
	 * What becomes of a call.
	 */
	enum Fate {

		/** It is answered. */
		SERVED,

		/** It is refused with 503 and not carried out. */
		BUSY,

		/** It is carried out some seconds later and never answered. */
		DONE_LATE

	}

	/**
	 * Decides on calls.
	 */
	interface Disruption {

		/**
		 * Decides on a call.
		 * @param call the call
		 * @return what becomes of it
		 */
		Fate fate(HttpMessage call);

		/**
		 * Returns after how long late calls are carried out.
		 * @return the time in milliseconds
		 */
		default long lateMillis() {
			return 0;
		}

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
