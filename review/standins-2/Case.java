import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * What all cases have in common: the folder, the record, the store and what has to be
 * ended. The process exits with 1 if the rule was broken, 0 if it held and 2 if the case
 * could not run.
 */
abstract class Case {

	/**
	 * The time after which a case that has not ended could not run, in milliseconds.
	 */
	private static final long LONGEST_MILLIS = 115_000;

	/**
	 * Whether the case is run with its disruption.
	 */
	final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

	/**
	 * The record.
	 */
	final CaseRecord record = new CaseRecord();

	/**
	 * A folder for settings and logs.
	 */
	final Path folder;

	/**
	 * The store.
	 */
	final Store store;

	private final List<Closeable> parts = new ArrayList<>();

	Case() throws IOException {
		this.folder = Files.createTempDirectory("review");
		this.store = use(new Store(0));
	}

	/**
	 * Notes a part that has to be ended.
	 * @param <T> its type
	 * @param part the part
	 * @return the part
	 */
	final <T extends Closeable> T use(T part) {
		this.parts.add(part);
		return part;
	}

	/**
	 * Runs the case.
	 * @return whether the rule was broken
	 * @throws Exception if the case cannot run
	 */
	abstract boolean broken() throws Exception;

	/**
	 * Runs the case and ends the process.
	 * @param arguments the folder for the record
	 */
	final void run(String[] arguments) throws IOException {
		HttpServer.start(() -> {
			Store.pause(LONGEST_MILLIS);
			System.exit(2);
		});
		int status = 2;
		try {
			this.record.say("the disruption is " + (this.trouble ? "on" : "off"));
			status = broken() ? 1 : 0;
			this.record.say((status == 1) ? "the rule was broken" : "the rule held");
		}
		catch (Exception ex) {
			this.record.say("the case could not run: " + ex);
		}
		finally {
			for (Closeable part : this.parts) {
				part.close();
			}
			this.record.save(Path.of(arguments[0]).resolve("record.txt"));
			try (var files = Files.list(this.folder)) {
				for (Path file : files.toList()) {
					Files.delete(file);
				}
			}
			Files.delete(this.folder);
		}
		System.exit(status);
	}

	/**
	 * Writes a configuration with an ordinary route, on which requests may run once, and
	 * a second route to another service.
	 * @param second what the second route says of itself beside its name, host and service
	 * @param engines what the second service says of its engines, empty if it has no
	 * models
	 */
	final void configure(String second, String engines) {
		this.store.write("keyed.op", "config",
				"{\"version\":1,\"routes\":[" + route("r1", "items",
						"\"path_prefix\":\"/items/\",\"kind\":\"non_idempotent\",\"timeout_ms\":"
								+ OrdinaryCallers.TIMEOUT_MILLIS + ",\"target_latency_ms\":100,\"max_attempts\":2")
						+ "," + route("r2", "chat", second) + "],\"services\":[" + service("items", "") + ","
						+ service("chat", engines)
						+ "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
						+ "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,\"tokens_per_s\":210000},"
						+ "\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"key-1\"]}]}");
	}

	private static String route(String name, String service, String more) {
		return "{\"name\":\"" + name + "\",\"host\":\"" + Caller.HOST + "\",\"service\":\"" + service
				+ "\",\"priority\":1,\"public\":true," + more + "}";
	}

	private static String service(String name, String engines) {
		return "{\"name\":\"" + name + "\",\"health_path\":\"/health\",\"max_conns\":360,\"protocol\":\"h1\","
				+ "\"tls\":false,\"cold_s\":0.0,\"cold_per_s\":0" + engines + "}";
	}

	/**
	 * Starts an engine that reports regularly and is healthy, but answers requests in its
	 * own way.
	 * @param id the engine's identifier
	 * @param service its service
	 * @param slots its places
	 * @param requests answers the requests
	 * @throws IOException if it cannot be started
	 */
	final void startEngine(String id, String service, int slots, HttpServer.Handler requests) throws IOException {
		HttpServer server = use(new HttpServer(0, (request, exchange) -> {
			if (request.path().equals("/health")) {
				exchange.answer(200, "X-Ebonyford-Instance-Id: " + id + "\r\n", new byte[0]);
				return true;
			}
			return requests.handle(request, exchange);
		}));
		HttpServer.start(() -> {
			for (int sequence = 1; true; sequence++) {
				this.store.write("keyed.servers", id, Engine.entry(service, server.port(), slots, sequence, 1));
				Store.pause(Engine.HEARTBEAT_MILLIS);
			}
		});
	}

}
