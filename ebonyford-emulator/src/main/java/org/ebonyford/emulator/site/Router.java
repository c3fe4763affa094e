package org.ebonyford.emulator.site;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.ebonyford.emulator.process.OwnedProcess;
import org.ebonyford.emulator.process.Signal;

/**
 * A router's process on a VM.
 */
public final class Router implements AutoCloseable {

	/**
	 * The options of the Java virtual machine.
	 */
	private static final List<String> JAVA_OPTIONS = List.of("-Xms32m", "-Xmx160m", "-XX:MaxMetaspaceSize=96m",
			"-XX:+UseSerialGC", "-jar");

	/**
	 * The time that a call for the readiness may take.
	 */
	private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);

	/**
	 * The client of the calls.
	 */
	private static final HttpClient CLIENT = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	/**
	 * The settings of the process.
	 */
	private final RouterSettings settings;

	/**
	 * The process.
	 */
	private final OwnedProcess process;

	private Router(RouterSettings settings, OwnedProcess process) {
		this.settings = settings;
		this.process = process;
	}

	/**
	 * Starts a router.
	 * @param settings the settings of its process
	 * @param executable the executable file of the program
	 * @param directory the directory that takes its settings and what it writes
	 * @return the router, which may not listen yet
	 */
	static Router start(RouterSettings settings, Path executable, Path directory) {
		Path file = directory.resolve(settings.vm() + ".ini");
		settings.write(file);
		List<String> options = new ArrayList<>(JAVA_OPTIONS);
		options.add(executable.toString());
		OwnedProcess process = OwnedProcess.java(settings.vm(), directory, options,
				List.of("router", "--settings", file.toString()));
		return new Router(settings, process);
	}

	/**
	 * Returns the VM of the router.
	 * @return the name of the VM
	 */
	public String vm() {
		return this.settings.vm();
	}

	/**
	 * Returns the data centre of the router.
	 * @return the name of the data centre
	 */
	public String dataCentre() {
		return this.settings.dataCentre();
	}

	/**
	 * Returns where callers reach the router.
	 * @return the host and port
	 */
	public String callers() {
		return "127.0.0.1:" + this.settings.callersPort();
	}

	/**
	 * Returns where operators reach the router.
	 * @return the host and port
	 */
	public String operators() {
		return "127.0.0.1:" + this.settings.operatorsPort();
	}

	/**
	 * Returns where other routers reach the router, without a relay.
	 * @return the host and port
	 */
	public String peers() {
		return "127.0.0.1:" + this.settings.peersPort();
	}

	/**
	 * Returns the process of the router.
	 * @return the process
	 */
	public OwnedProcess process() {
		return this.process;
	}

	/**
	 * Returns whether the process answers.
	 * @return {@code true} if its event loop works
	 */
	public boolean healthy() {
		return answers("/healthz");
	}

	/**
	 * Returns whether the router takes requests.
	 * @return {@code true} if it says so to the balancer
	 */
	public boolean ready() {
		return answers("/readyz");
	}

	/**
	 * Ends the process at once.
	 */
	public void kill() {
		this.process.signal(Signal.KILL);
	}

	/**
	 * Freezes the process.
	 */
	public void freeze() {
		this.process.signal(Signal.STOP);
	}

	/**
	 * Lets the frozen process go on.
	 */
	public void thaw() {
		this.process.signal(Signal.CONT);
	}

	/**
	 * Asks the process to stop.
	 */
	public void stop() {
		this.process.signal(Signal.TERM);
	}

	/**
	 * Reads what the router tells operators about itself.
	 * @return the status as JSON, empty if the router does not answer
	 */
	public String status() {
		try {
			return get("/status").body();
		}
		catch (IOException ex) {
			return "";
		}
	}

	@Override
	public void close() {
		this.process.close();
	}

	private boolean answers(String path) {
		try {
			return get(path).statusCode() == 200;
		}
		catch (IOException ex) {
			return false;
		}
	}

	private HttpResponse<String> get(String path) throws IOException {
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + operators() + path))
			.header("Authorization", "Bearer " + RouterSettings.OPERATORS_SECRET)
			.timeout(CALL_TIMEOUT)
			.build();
		try {
			return CLIENT.send(request, HttpResponse.BodyHandlers.ofString());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IOException(ex);
		}
	}

}
