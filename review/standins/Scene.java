import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

/** A small deployment: the store, engines and gateways of one case. */
final class Scene implements AutoCloseable {

	final Record record;

	final Store store;

	final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

	private final Path folder;

	private final List<Engine> engines = Collections.synchronizedList(new ArrayList<>());

	private final List<Gateway> gateways = new ArrayList<>();

	/** Each run has loopback addresses of its own for its gateways. */
	private final String network = "127." + ThreadLocalRandom.current().nextInt(10, 250) + "."
			+ ThreadLocalRandom.current().nextInt(1, 250) + ".";

	Scene(Path recordFile) throws IOException {
		this.record = new Record(recordFile);
		this.store = new Store();
		this.folder = Files.createTempDirectory("review");
		this.record.line("trouble: %s", this.trouble);
	}

	/** Writes a configuration; what is named in the JSON texts stands in the users' pages. */
	void configure(int version, String routes, String services, String tenants) {
		configure(version, routes, services, tenants, 4_194_304);
	}

	void configure(int version, String routes, String services, String tenants, int maxBodyBytes) {
		this.store.put("keyed.op", "config", "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":["
				+ services
				+ "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":" + maxBodyBytes
				+ ",\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,\"tokens_per_s\":210000},\"tenants\":["
				+ tenants + "]}");
		this.record.line("configuration %d is confirmed", version);
	}

	static String route(String name, String prefix, String kind, String service, long timeout, int attempts,
			boolean resumes) {
		return "{\"name\":\"" + name + "\",\"host\":\"" + Caller.HOST + "\",\"path_prefix\":\"" + prefix
				+ "\",\"kind\":\"" + kind + "\",\"timeout_ms\":" + timeout
				+ ",\"target_latency_ms\":400,\"priority\":1,\"service\":\"" + service + "\",\"max_attempts\":"
				+ attempts + ",\"public\":true,\"sticky\":false,\"can_resume\":" + resumes + ",\"gap_aim_ms\":400}";
	}

	static String service(String name, int connections) {
		return "{\"name\":\"" + name + "\",\"health_path\":\"/health\",\"max_conns\":" + connections
				+ ",\"protocol\":\"h1\",\"tls\":false,\"cold_s\":0.0,\"cold_per_s\":0.0}";
	}

	static String engineService(String name, int connections) {
		return "{\"name\":\"" + name + "\",\"health_path\":\"/health\",\"max_conns\":" + connections
				+ ",\"protocol\":\"h1\",\"tls\":false,\"cold_s\":0.0,\"cold_per_s\":0.0,\"engine\":{\"slots\":64,\"kv_capacity\":675127,\"kv_token_bytes\":35136,\"link_mbps\":740000.0,\"moves\":true,\"backups\":true,\"stride\":6,\"most\":12,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_s\":5.0,\"models\":[{\"name\":\"m\"}]}}";
	}

	static String tenant(String name, String key) {
		return "{\"name\":\"" + name + "\",\"api_keys\":[\"" + key + "\"],\"priority\":1}";
	}

	Engine engine(String id, String service, String zone, int slots, Engine.Handler handler) throws IOException {
		Engine engine = new Engine(this.store, this.record, id, service, zone, slots, handler);
		this.engines.add(engine);
		return engine;
	}

	Gateway gateway(String name, String zone) throws IOException {
		Gateway gateway = new Gateway(this.record, this.folder, name, zone,
				this.network + (this.gateways.size() + 1), this.store.port(), Map.of());
		this.gateways.add(gateway);
		return gateway.start();
	}

	/** Ends all that was started. */
	@Override
	public void close() {
		this.gateways.forEach(Gateway::close);
		this.engines.forEach(Engine::close);
		this.store.close();
		this.record.close();
		if (System.getenv("KEEP_LOGS") != null) {
			System.out.println("logs: " + this.folder);
			return;
		}
		try (var files = Files.list(this.folder)) {
			for (Path file : files.toList()) {
				Files.delete(file);
			}
			Files.delete(this.folder);
		}
		catch (IOException ex) {
			// The folder is a temporary one.
		}
	}

	/** A case: tells whether the rule was broken. */
	interface Case {

		boolean play(Scene scene) throws Exception;

	}

	/** Plays a case; ends with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
	static void main(String[] arguments, Case played) {
		int status = 2;
		try (Scene scene = new Scene(Path.of(arguments[0]))) {
			Runtime.getRuntime().addShutdownHook(new Thread(() -> scene.gateways.forEach(Gateway::close)));
			Tasks.start("bound", () -> {
				Tasks.sleep(110_000);
				System.err.println("The case takes too long");
				System.exit(2);
			});
			status = played.play(scene) ? 1 : 0;
		}
		catch (Exception ex) {
			ex.printStackTrace();
		}
		System.exit(status);
	}

}
