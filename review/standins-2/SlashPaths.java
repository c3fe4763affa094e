import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some odd clients send requests of legal size whose path is made of very many slashes,
 * each one after the other. Ordinary callers send requests meanwhile.
 */
final class SlashPaths extends Case {

	private static final int CLIENTS = 20;

	/**
	 * The length of the odd paths; a head may have 16,384 bytes.
	 */
	private static final int PATH_BYTES = 16_000;

	private static final long SPAN_MILLIS = 20_000;

	private static final long LIMIT_MILLIS = 10_000;

	private final AtomicInteger requests = new AtomicInteger();

	SlashPaths() throws IOException {
	}

	public static void main(String[] arguments) throws IOException {
		new SlashPaths().run(arguments);
	}

	@Override
	boolean broken() throws Exception {
		configure("\"path_prefix\":\"/chat/\",\"kind\":\"idempotent\",\"timeout_ms\":800,\"target_latency_ms\":100,"
				+ "\"max_attempts\":2", "");
		use(new Engine("i-1", "items", this.store, this.record, 64, 20)).register();
		Gateway gateway = use(new Gateway("gateway-1", this.folder, this.store.port(), this.record)).start();
		Store.pause(3_000);
		OrdinaryCallers ordinary = use(new OrdinaryCallers(gateway.callers(), this.record));
		Store.pause(3_000);
		this.record.say("the odd clients begin");
		long end = System.currentTimeMillis() + SPAN_MILLIS;
		for (int number = 0; number < CLIENTS; number++) {
			HttpServer.start(() -> {
				while (System.currentTimeMillis() < end) {
					call(gateway);
				}
			});
		}
		Store.pause(SPAN_MILLIS);
		this.record.say("the odd clients have ended; they sent " + this.requests + " requests");
		return ordinary.late();
	}

	private void call(Gateway gateway) {
		String id = "odd-" + this.requests.incrementAndGet();
		String path = this.trouble ? "/".repeat(PATH_BYTES) : "/" + "a".repeat(PATH_BYTES - 1);
		try (Caller caller = new Caller(gateway.callers())) {
			this.record.add(id + " sent");
			HttpMessage answer = caller.get(path, id, LIMIT_MILLIS);
			this.record.add(id + ((answer != null) ? " answered " + answer.status() : " closed"));
			Store.pause(200);
		}
		catch (IOException ex) {
			this.record.add(id + " " + ex.getMessage());
			Store.pause(200);
		}
	}

}
