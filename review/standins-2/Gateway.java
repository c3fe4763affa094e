import java.io.Closeable;
import java.io.File;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A gateway of the project as a process of its own, started by the deploy file's command
 * with settings as the platform renders them.
 */
final class Gateway implements Closeable {

	private static final long START_MILLIS = 20_000;

	private final String name;

	private final Path folder;

	private final CaseRecord record;

	private final int callers = freePort();

	private final int readiness = freePort();

	private final int metrics = freePort();

	private final int peers = freePort();

	private final Path settings;

	private Process process;

	/**
	 * Creates a gateway that does not run.
	 * @param name its name
	 * @param folder a folder for its settings and its log
	 * @param storePort the port of the store
	 * @param record the record of the case
	 * @throws IOException if its settings cannot be written
	 */
	Gateway(String name, Path folder, int storePort, CaseRecord record) throws IOException {
		this.name = name;
		this.folder = folder;
		this.record = record;
		this.settings = folder.resolve(name + ".ini");
		Files.writeString(this.settings, String.join("\n", "[gateway]", "name = " + name, "data-centre = z1",
				"[listen]", "callers = 127.0.0.1:" + this.callers, "readiness = 127.0.0.1:" + this.readiness,
				"metrics = 127.0.0.1:" + this.metrics, "peers = 127.0.0.1:" + this.peers,
				"relay = 127.0.0.1:" + this.peers, "[store]", "address = 127.0.0.1:" + storePort, "[limits]",
				"descriptors = 4100", "[bounds]", "revocation-ms = 5000", "grace-seconds = 8", "retry-ratio = 0.2",
				"retry-extra = 52", "retry-window-seconds = 10", "cold-factor = 1.5", "cold-slack = 5",
				"share-window-seconds = 4", "[platform]",
				"terms = none,base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform", ""));
	}

	/**
	 * Returns a port that is free for TCP and UDP.
	 */
	private static int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
				DatagramSocket datagrams = new DatagramSocket(
						new InetSocketAddress("127.0.0.1", socket.getLocalPort()))) {
			return socket.getLocalPort();
		}
	}

	/**
	 * Starts the process and waits until it is ready.
	 * @return the gateway
	 * @throws IOException if it does not become ready
	 */
	Gateway start() throws IOException {
		List<String> command = new ArrayList<>();
		for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
			if (line.startsWith("run = ")) {
				command.addAll(List.of(line.substring("run = ".length()).replace("\"", "").split(" ")));
			}
		}
		ProcessBuilder builder = new ProcessBuilder(command);
		builder.environment().put("EBONYFORD_NODE_FILE", this.settings.toString());
		File log = this.folder.resolve(this.name + ".log").toFile();
		builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
		this.process = builder.start();
		Runtime.getRuntime().addShutdownHook(new Thread(this.process::destroyForcibly));
		this.record.say("gateway " + this.name + " starts");
		long end = System.currentTimeMillis() + START_MILLIS;
		while (!ready()) {
			if (System.currentTimeMillis() > end) {
				throw new IOException("Gateway " + this.name + " does not become ready");
			}
			Store.pause(20);
		}
		this.record.say("gateway " + this.name + " is ready");
		return this;
	}

	/**
	 * Returns whether the gateway says that it is ready.
	 * @return {@code true} if it takes connections
	 */
	boolean ready() {
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress("127.0.0.1", this.readiness), 500);
			socket.setSoTimeout(2_000);
			socket.getOutputStream().write("GET /-/ready HTTP/1.1\r\nHost: gateway\r\n\r\n".getBytes());
			HttpMessage answer = HttpMessage.read(socket.getInputStream());
			return answer != null && answer.status() == 200;
		}
		catch (IOException ex) {
			return false;
		}
	}

	int callers() {
		return this.callers;
	}

	@Override
	public void close() {
		if (this.process != null) {
			this.process.destroyForcibly().onExit().join();
		}
	}

}
