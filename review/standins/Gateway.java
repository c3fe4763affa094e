import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A gateway of the deploy file, started with the deploy file's command. */
final class Gateway implements AutoCloseable {

	private final String name;

	private final Record record;

	private final Path settings;

	private final Path root;

	private final Path log;

	private final InetSocketAddress callers;

	private final InetSocketAddress readiness;

	private Process process;

	/**
	 * Renders the settings of a gateway.
	 * @param ip a loopback address of its own, since the settings fix the port of the metrics
	 */
	Gateway(Record record, Path folder, String name, String zone, String ip, int storePort, Map<String, String> bounds)
			throws IOException {
		this.record = record;
		this.name = name;
		this.root = Path.of(System.getProperty("root"));
		this.log = folder.resolve(name + ".log");
		this.callers = new InetSocketAddress(ip, freePort(ip));
		this.readiness = new InetSocketAddress(ip, freePort(ip));
		Map<String, String> fields = new LinkedHashMap<>();
		fields.put("node_name", name);
		fields.put("zone", zone);
		fields.put("ip", ip);
		fields.put("listen.frontend", ip + ":" + this.callers.getPort());
		fields.put("listen.ready", ip + ":" + this.readiness.getPort());
		fields.put("internal_ports.0", String.valueOf(freePort(ip)));
		fields.put("platform.address", "127.0.0.1:" + storePort);
		fields.put("limits.max_fds", "4100");
		fields.put("bounds.revoke_ms", "5000");
		fields.put("bounds.grace_s", "8");
		fields.put("bounds.budget_ratio", "0.2");
		fields.put("bounds.budget_extra", "52");
		fields.put("bounds.budget_window_s", "10");
		fields.put("bounds.cold_over", "1.5");
		fields.put("bounds.cold_slack", "5");
		fields.put("bounds.quota_window_s", "4");
		fields.put("bounds.expose_share", "0.1");
		fields.put("bounds.expose_slack", "50");
		fields.put("bounds.rollback_ms", "5000");
		fields.putAll(bounds);
		String text = Files.readString(this.root.resolve("deploy/router.ini"))
			.replaceAll("\\{\\{[#/][^}]*}}", "");
		for (Map.Entry<String, String> field : fields.entrySet()) {
			text = text.replace("{{" + field.getKey() + "}}", field.getValue());
		}
		this.settings = folder.resolve(name + ".ini");
		Files.writeString(this.settings, text);
	}

	static int freePort(String ip) throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
			return socket.getLocalPort();
		}
	}

	InetSocketAddress callers() {
		return this.callers;
	}

	Gateway start() throws IOException {
		String run = Files.readAllLines(this.root.resolve("deploy/system.toml"))
			.stream()
			.filter((line) -> line.startsWith("run = "))
			.findFirst()
			.orElseThrow();
		ProcessBuilder builder = new ProcessBuilder(
				Arrays.asList(run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" ")));
		builder.environment().put("EBONYFORD_NODE_FILE", this.settings.toString());
		builder.directory(this.root.toFile());
		builder.redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.appendTo(this.log.toFile()))
			.redirectInput(new File("/dev/null"));
		this.process = builder.start();
		this.record.line("gateway %s starts as process %d, callers at %s", this.name, this.process.pid(),
				this.callers);
		return this;
	}

	boolean ready() {
		try (Socket socket = new Socket()) {
			socket.connect(this.readiness, 500);
			socket.setSoTimeout(1_000);
			socket.getOutputStream()
				.write("GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
					.getBytes(StandardCharsets.ISO_8859_1));
			return Http.line(socket.getInputStream()).contains(" 200");
		}
		catch (IOException ex) {
			return false;
		}
	}

	void awaitReady() {
		for (int tries = 0; tries < 300; tries++) {
			if (ready()) {
				this.record.line("gateway %s is ready", this.name);
				return;
			}
			Tasks.sleep(100);
		}
		throw new IllegalStateException("The gateway does not become ready: " + this.log);
	}

	boolean alive() {
		return this.process.isAlive();
	}

	/** Sends SIGTERM. */
	void terminate() {
		this.record.line("gateway %s gets SIGTERM", this.name);
		this.process.destroy();
	}

	/** Waits for the end; sends SIGKILL after the time, as the platform does. */
	void awaitEnd(long millis) {
		try {
			if (!this.process.waitFor(millis, TimeUnit.MILLISECONDS)) {
				this.record.line("gateway %s gets SIGKILL", this.name);
				this.process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
			}
			this.record.line("gateway %s has ended", this.name);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	@Override
	public void close() {
		if (this.process != null && this.process.isAlive()) {
			this.process.destroyForcibly();
			try {
				this.process.waitFor(5, TimeUnit.SECONDS);
			}
			catch (InterruptedException ex) {
				throw new IllegalStateException(ex);
			}
		}
	}

}
