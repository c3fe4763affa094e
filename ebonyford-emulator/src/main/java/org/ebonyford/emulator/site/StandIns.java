package org.ebonyford.emulator.site;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.ebonyford.emulator.Main;
import org.ebonyford.emulator.fault.Fault;
import org.ebonyford.emulator.fault.Faults;
import org.ebonyford.emulator.http.Json;
import org.ebonyford.emulator.platform.ListStandIn;
import org.ebonyford.emulator.platform.LogStandIn;
import org.ebonyford.emulator.process.OwnedProcess;
import org.ebonyford.emulator.standin.StandInHost;
import org.ebonyford.emulator.truth.Truth;
import org.ebonyford.emulator.upstream.UpstreamSettings;

/**
 * The processes of a site's stand-ins, and the way for tests to judge and disturb them.
 */
public final class StandIns implements AutoCloseable {

	/**
	 * The name of the log service.
	 */
	public static final String LOG = "log";

	/**
	 * The name of the VM list.
	 */
	public static final String VMS = "vms";

	/**
	 * The seconds that the start of a process may take.
	 */
	private static final long START_SECONDS = 60;

	/**
	 * The seconds that a call of a test may take.
	 */
	private static final Duration CALL_TIMEOUT = Duration.ofSeconds(30);

	/**
	 * The options of the Java virtual machine.
	 */
	private static final List<String> JAVA_OPTIONS = List.of("-Xms32m", "-Xmx384m", "-XX:+UseSerialGC", "-cp",
			System.getProperty("java.class.path"), Main.class.getName());

	/**
	 * The client of the calls.
	 */
	private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	/**
	 * The processes.
	 */
	private final List<OwnedProcess> processes = new ArrayList<>();

	/**
	 * Where tests reach each stand-in.
	 */
	private final Map<String, String> tests = new LinkedHashMap<>();

	/**
	 * Where each stand-in is reached.
	 */
	private final Map<String, String> addresses = new LinkedHashMap<>();

	private StandIns() {
	}

	/**
	 * Starts the platform in one process and the upstreams of each pool in another.
	 * @param deployment the deployment
	 * @param directory the directory that takes what the processes write
	 * @return the stand-ins, all of which listen
	 */
	public static StandIns start(Deployment deployment, Path directory) {
		StandIns standIns = new StandIns();
		try {
			standIns.launch("platform", directory, List.of("--log", "0", "--vms", "0"));
			for (Deployment.Pool pool : deployment.pools()) {
				standIns.launch("pool-" + pool.name(), directory, arguments(deployment, pool));
			}
			standIns.processes.forEach(standIns::learnAddresses);
			return standIns;
		}
		catch (RuntimeException ex) {
			standIns.close();
			throw ex;
		}
	}

	/**
	 * Returns where a stand-in is reached.
	 * @param name the name of the stand-in
	 * @return the host and port
	 */
	public String address(String name) {
		return this.addresses.get(name);
	}

	/**
	 * Returns the process of the platform or of a pool.
	 * @param name {@code platform}, or {@code pool-} and the name of the pool
	 * @return the process
	 */
	public OwnedProcess process(String name) {
		return this.processes.stream().filter((process) -> process.name().equals(name)).findFirst().orElseThrow();
	}

	/**
	 * Tells what really happened at an upstream, without single runs.
	 * @param upstream the name of the upstream
	 * @return the truth
	 */
	public Truth truth(String upstream) {
		return Json.read(call("GET", upstream, "truth", new byte[0]), Truth.class);
	}

	/**
	 * Tells what really happened at an upstream, with every run.
	 * @param upstream the name of the upstream
	 * @return the truth
	 */
	public Truth detailedTruth(String upstream) {
		return Json.read(call("GET", upstream, "truth?detailed=true", new byte[0]), Truth.class);
	}

	/**
	 * Tells what really is in the log.
	 * @return the truth
	 */
	public LogStandIn.LogTruth logTruth() {
		return Json.read(call("GET", LOG, "truth", new byte[0]), LogStandIn.LogTruth.class);
	}

	/**
	 * Switches a fault on.
	 * @param name the name of the stand-in
	 * @param fault the fault
	 */
	public void fault(String name, Fault fault) {
		call("POST", name, "faults", Json.bytes(fault));
	}

	/**
	 * Tells what a stand-in's faults hold.
	 * @param name the name of the stand-in
	 * @return the faults that are switched on, and what is held
	 */
	public Faults.State faults(String name) {
		return Json.read(call("GET", name, "faults", new byte[0]), Faults.State.class);
	}

	/**
	 * Switches all faults off and lets go on what is held.
	 * @param name the name of the stand-in
	 */
	public void heal(String name) {
		call("DELETE", name, "faults", new byte[0]);
	}

	/**
	 * Has an order carried out.
	 * @param name the name of the stand-in
	 * @param order the name of the order
	 */
	public void order(String name, String order) {
		call("POST", name, "orders/" + order, new byte[0]);
	}

	/**
	 * Limits what the log keeps.
	 * @param retention how long and how many records a stream keeps
	 */
	public void retain(LogStandIn.Retention retention) {
		call("POST", LOG, "orders/retention", Json.bytes(retention));
	}

	/**
	 * Changes the list of VMs.
	 * @param vms the VMs
	 * @param upstreams the upstreams of which there is something to tell
	 */
	public void list(List<ListStandIn.VmLine> vms, List<ListStandIn.UpstreamLine> upstreams) {
		call("POST", VMS, "orders/vms", Json.bytes(new ListStandIn.VmList(0, vms, upstreams)));
	}

	@Override
	public void close() {
		this.processes.forEach(OwnedProcess::close);
	}

	private void launch(String name, Path directory, List<String> arguments) {
		List<String> all = new ArrayList<>(List.of("standin"));
		all.addAll(arguments);
		this.processes.add(OwnedProcess.java(name, directory, JAVA_OPTIONS, all));
	}

	private void learnAddresses(OwnedProcess process) {
		byte[] line = process.awaitLine(START_SECONDS).getBytes(StandardCharsets.UTF_8);
		StandInHost.Addresses learned = Json.read(line, StandInHost.Addresses.class);
		this.addresses.putAll(learned.standIns());
		learned.standIns().keySet().forEach((name) -> this.tests.put(name, learned.tests()));
	}

	private byte[] call(String method, String name, String path, byte[] body) {
		URI uri = URI.create("http://" + this.tests.get(name) + "/" + name + "/" + path);
		HttpRequest request = HttpRequest.newBuilder(uri)
			.method(method, HttpRequest.BodyPublishers.ofByteArray(body))
			.timeout(CALL_TIMEOUT)
			.build();
		try {
			HttpResponse<byte[]> response = this.client.send(request, HttpResponse.BodyHandlers.ofByteArray());
			if (response.statusCode() != 200) {
				throw new IllegalStateException(method + " " + uri + " got " + response.statusCode() + " "
						+ new String(response.body(), StandardCharsets.UTF_8));
			}
			return response.body();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException(ex);
		}
	}

	private static List<String> arguments(Deployment deployment, Deployment.Pool pool) {
		List<String> arguments = new ArrayList<>();
		for (Deployment.Upstream upstream : deployment.upstreams()) {
			if (upstream.pool().equals(pool)) {
				UpstreamSettings settings = pool.settings().named(upstream.name());
				arguments.addAll(List.of(pool.engine() ? "--engine" : "--service", settings.text()));
			}
		}
		return arguments;
	}

}
