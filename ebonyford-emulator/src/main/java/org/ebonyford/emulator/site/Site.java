package org.ebonyford.emulator.site;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

import org.ebonyford.emulator.platform.ListStandIn;
import org.ebonyford.emulator.process.Await;
import org.ebonyford.emulator.process.OwnedProcess;
import org.ebonyford.emulator.process.Ports;
import org.ebonyford.emulator.relay.ConnectionOwner;
import org.ebonyford.emulator.relay.Network;

/**
 * A running site. All its processes end when it is closed.
 */
public final class Site implements AutoCloseable {

	/**
	 * The system property that names the executable file of the program.
	 */
	public static final String EXECUTABLE_PROPERTY = "ebonyford.executable";

	/**
	 * The seconds that the start of all routers may take.
	 */
	private static final long START_SECONDS = 120;

	/**
	 * The seconds that a command may take.
	 */
	private static final long COMMAND_SECONDS = 60;

	/**
	 * The times that a router is started whose ports were taken meanwhile.
	 */
	private static final int START_TRIES = 3;

	/**
	 * What the site runs.
	 */
	private final Deployment deployment;

	/**
	 * The executable file of the program.
	 */
	private final Path executable;

	/**
	 * The settings of all routers beside their addresses.
	 */
	private final List<RouterSettings.Setting> settings;

	/**
	 * The directory that takes settings and output.
	 */
	private final Path directory;

	/**
	 * The network, or {@code null} if everything is reached directly.
	 */
	private final Network network;

	/**
	 * The names of the routers' processes by their numbers.
	 */
	private final Map<Long, String> owners = new ConcurrentHashMap<>();

	/**
	 * The stand-ins.
	 */
	private final StandIns standIns;

	/**
	 * The relays by the names of their targets.
	 */
	private final Map<String, String> relays = new ConcurrentHashMap<>();

	/**
	 * The routers by their VMs.
	 */
	private final Map<String, Router> routers = new LinkedHashMap<>();

	/**
	 * What the list tells of VMs that are not live.
	 */
	private final Map<String, String> vmStates = new LinkedHashMap<>();

	/**
	 * The upstreams that the list tells to be leaving.
	 */
	private final List<String> leavingUpstreams = new ArrayList<>();

	/**
	 * The number of commands that were run.
	 */
	private final AtomicInteger commands = new AtomicInteger();

	private Site(Builder builder, Path directory) {
		this.deployment = builder.deployment;
		this.executable = builder.executable;
		this.settings = builder.settings;
		this.directory = directory;
		this.network = builder.relayed ? new Network(new ConnectionOwner.ForProcesses(this.owners)) : null;
		this.standIns = StandIns.start(this.deployment, directory);
	}

	/**
	 * Describes a site.
	 * @param deployment what the site runs
	 * @return a builder
	 */
	public static Builder of(Deployment deployment) {
		return new Builder(deployment, executableFile(), false, List.of());
	}

	/**
	 * Returns what the site runs.
	 * @return the deployment
	 */
	public Deployment deployment() {
		return this.deployment;
	}

	/**
	 * Returns the stand-ins, which judge.
	 * @return the stand-ins
	 */
	public StandIns standIns() {
		return this.standIns;
	}

	/**
	 * Returns the routers.
	 * @return the routers in the order of their start
	 */
	public List<Router> routers() {
		return List.copyOf(this.routers.values());
	}

	/**
	 * Returns the routers of a data centre.
	 * @param dataCentre the name of the data centre
	 * @return the routers
	 */
	public List<Router> routers(String dataCentre) {
		return routers().stream().filter((router) -> router.dataCentre().equals(dataCentre)).toList();
	}

	/**
	 * Returns a router.
	 * @param index the number of the router, from 0
	 * @return the router that runs on the VM of that number
	 */
	public Router router(int index) {
		return this.routers.get(this.deployment.vm(index));
	}

	/**
	 * Runs a command of the program.
	 * @param arguments the command and its options
	 * @return how it ended
	 */
	public CommandResult command(String... arguments) {
		try (OwnedProcess process = OwnedProcess.java("command-" + this.commands.incrementAndGet(), this.directory,
				List.of("-Xmx128m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-jar", this.executable.toString()),
				List.of(arguments))) {
			int exitCode = process.awaitExit(COMMAND_SECONDS);
			return new CommandResult(exitCode, process.output());
		}
	}

	/**
	 * Publishes the lists of the site's own deployment.
	 * @return how the command ended
	 */
	public CommandResult publish() {
		return publish(this.deployment);
	}

	/**
	 * Publishes the lists of a deployment, which may differ from the site's own in plans
	 * and organisations.
	 * @param changed the deployment
	 * @return how the command ended
	 */
	public CommandResult publish(Deployment changed) {
		Path lists = write(changed, "published");
		return operate("publish", "--plans", lists.resolve("plans.ini").toString(), "--uses",
				lists.resolve("uses.ini").toString());
	}

	/**
	 * Writes the lists of a deployment and publishes nothing.
	 * @param changed the deployment
	 * @param name the name of the directory that takes the lists
	 * @return the directory, which holds {@code plans.ini} and {@code uses.ini}
	 */
	public Path write(Deployment changed, String name) {
		try {
			Path lists = Files.createDirectories(this.directory.resolve(name));
			ConfigurationFiles.of(changed, (upstream) -> reach(upstream, this.standIns.address(upstream))).write(lists);
			return lists;
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Runs an operator's command that goes through the log.
	 * @param arguments the command and its options
	 * @return how the command ended
	 */
	public CommandResult operate(String... arguments) {
		List<String> all = new ArrayList<>(List.of(arguments));
		all.addAll(List.of("--log", "http://" + this.standIns.address(StandIns.LOG)));
		return command(all.toArray(String[]::new));
	}

	/**
	 * Waits until all routers take requests.
	 */
	public void awaitReady() {
		for (Router router : routers()) {
			Await.until(() -> router.vm() + " to take requests; it wrote: " + tail(router.process()), START_SECONDS,
					router::ready);
		}
	}

	/**
	 * Starts a new router on a VM, in place of one that has ended.
	 * @param index the number of the router, from 0
	 * @return the router, which may not take requests yet
	 */
	public Router restart(int index) {
		Router old = router(index);
		old.close();
		Router router = launch(index);
		list();
		return router;
	}

	/**
	 * Changes what the list tells of a VM.
	 * @param vm the name of the VM
	 * @param state {@code live}, {@code leaving} or {@code gone}
	 */
	public void listVm(String vm, String state) {
		this.vmStates.put(vm, state);
		list();
	}

	/**
	 * Has the list tell that an upstream is leaving, or that it is not.
	 * @param upstream the name of the upstream
	 * @param leaving whether it is leaving
	 */
	public void listUpstream(String upstream, boolean leaving) {
		this.leavingUpstreams.remove(upstream);
		if (leaving) {
			this.leavingUpstreams.add(upstream);
		}
		list();
	}

	/**
	 * Cuts a router from a target, in the direction in which the router opens
	 * connections.
	 * @param router the router
	 * @param target the name of a VM, of an upstream, or of a part of the platform
	 */
	public void cut(Router router, String target) {
		this.network.cut(router.vm(), target);
	}

	/**
	 * Cuts a router from the platform.
	 * @param router the router
	 */
	public void cutFromPlatform(Router router) {
		cut(router, StandIns.LOG);
		cut(router, StandIns.VMS);
	}

	/**
	 * Cuts two routers from each other.
	 * @param one a router
	 * @param other another router
	 */
	public void cutPeers(Router one, Router other) {
		cut(one, other.vm());
		cut(other, one.vm());
	}

	/**
	 * Cuts a data centre from all others, with its VMs and upstreams, but not from the
	 * platform.
	 * @param dataCentre the data centre
	 */
	public void cutDataCentre(String dataCentre) {
		for (Router router : routers()) {
			boolean inside = router.dataCentre().equals(dataCentre);
			routers().stream()
				.filter((other) -> other.dataCentre().equals(dataCentre) != inside)
				.forEach((other) -> cut(router, other.vm()));
			this.deployment.upstreams()
				.stream()
				.filter((upstream) -> upstream.dataCentre().equals(dataCentre) != inside)
				.forEach((upstream) -> cut(router, upstream.name()));
		}
	}

	/**
	 * Cuts a data centre from all others and from the platform.
	 * @param dataCentre the data centre
	 */
	public void isolateDataCentre(String dataCentre) {
		cutDataCentre(dataCentre);
		routers(dataCentre).forEach(this::cutFromPlatform);
	}

	/**
	 * Returns the bytes that a router exchanged with other routers and with the platform.
	 * @param router the router
	 * @return the bytes in both directions
	 */
	public long controlBytes(Router router) {
		Set<String> control = new HashSet<>(this.routers.keySet());
		control.addAll(List.of(StandIns.LOG, StandIns.VMS));
		return this.network.bytes((source, target) -> target.equals(router.vm())
				|| (source.equals(router.vm()) && control.contains(target)));
	}

	/**
	 * Heals all cuts.
	 */
	public void healCuts() {
		this.network.healAll();
	}

	@Override
	public void close() {
		this.routers.values().forEach(Router::close);
		this.standIns.close();
		if (this.network != null) {
			this.network.close();
		}
		delete(this.directory);
	}

	private void startRouters() {
		for (int index = 0; index < this.deployment.routers(); index++) {
			launch(index);
		}
		list();
		for (int index = 0; index < this.deployment.routers(); index++) {
			awaitHealthy(index);
		}
		list();
	}

	private Router launch(int index) {
		String vm = this.deployment.vm(index);
		RouterSettings settings = new RouterSettings(vm, this.deployment.dataCentre(index), Ports.choose(),
				Ports.choose(), Ports.choose(), reach(StandIns.LOG, this.standIns.address(StandIns.LOG)),
				reach(StandIns.VMS, this.standIns.address(StandIns.VMS)), this.settings);
		Router router = Router.start(settings, this.executable, this.directory);
		this.owners.put(router.process().pid(), vm);
		this.routers.put(vm, router);
		if (this.network != null) {
			this.network.move(vm, router.peers());
		}
		return router;
	}

	private void awaitHealthy(int index) {
		for (int left = START_TRIES; left > 0; left--) {
			Router router = router(index);
			Await.until(() -> router.vm() + " to start; it wrote: " + tail(router.process()), START_SECONDS,
					() -> router.healthy() || !router.process().alive());
			if (router.process().alive()) {
				return;
			}
			launch(index);
		}
		throw new IllegalStateException("A router does not start: " + tail(router(index).process()));
	}

	private void list() {
		List<ListStandIn.VmLine> vms = this.routers.values()
			.stream()
			.filter((router) -> !state(router).equals("gone"))
			.map((router) -> new ListStandIn.VmLine(router.vm(), router.dataCentre(),
					reach(router.vm(), router.peers()), state(router)))
			.toList();
		List<ListStandIn.UpstreamLine> upstreams = this.leavingUpstreams.stream()
			.map((upstream) -> new ListStandIn.UpstreamLine(upstream, "leaving"))
			.toList();
		this.standIns.list(vms, upstreams);
	}

	private String state(Router router) {
		return this.vmStates.getOrDefault(router.vm(), "live");
	}

	private String reach(String target, String address) {
		if (this.network == null) {
			return address;
		}
		return this.relays.computeIfAbsent(target, (name) -> this.network.relay(name, address));
	}

	private static String tail(OwnedProcess process) {
		String output = process.output();
		return output.substring(Math.max(0, output.length() - 2000));
	}

	private static Path executableFile() {
		String property = System.getProperty(EXECUTABLE_PROPERTY);
		if (property != null) {
			return Path.of(property);
		}
		Path built = Path.of("ebonyford-router", "target", "ebonyford");
		return Stream.of(built, Path.of("..").resolve(built))
			.filter(Files::exists)
			.findFirst()
			.map(Path::toAbsolutePath)
			.orElse(built);
	}

	private static void delete(Path directory) {
		try (Stream<Path> files = Files.walk(directory)) {
			for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
				Files.deleteIfExists(file);
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Describes a site before its start.
	 */
	public static final class Builder {

		/**
		 * What the site runs.
		 */
		private final Deployment deployment;

		/**
		 * The executable file of the program.
		 */
		private final Path executable;

		/**
		 * Whether all connections go through relays.
		 */
		private final boolean relayed;

		/**
		 * The settings of all routers beside their addresses.
		 */
		private final List<RouterSettings.Setting> settings;

		private Builder(Deployment deployment, Path executable, boolean relayed,
				List<RouterSettings.Setting> settings) {
			this.deployment = deployment;
			this.executable = executable;
			this.relayed = relayed;
			this.settings = List.copyOf(settings);
		}

		/**
		 * Returns a builder with another number of routers.
		 * @param number the routers
		 * @return the builder
		 */
		public Builder routers(int number) {
			return new Builder(this.deployment.withRouters(number), this.executable, this.relayed, this.settings);
		}

		/**
		 * Returns a builder of a site whose connections can be cut.
		 * @return the builder
		 */
		public Builder relayed() {
			return new Builder(this.deployment, this.executable, true, this.settings);
		}

		/**
		 * Returns a builder with one setting more of all routers.
		 * @param section the section that it stands in
		 * @param key its key
		 * @param value its value
		 * @return the builder
		 */
		public Builder setting(String section, String key, String value) {
			List<RouterSettings.Setting> more = new ArrayList<>(this.settings);
			more.add(new RouterSettings.Setting(section, key, value));
			return new Builder(this.deployment, this.executable, this.relayed, more);
		}

		/**
		 * Returns a builder with another executable file.
		 * @param file the executable file of the program
		 * @return the builder
		 */
		public Builder executable(Path file) {
			return new Builder(this.deployment, file, this.relayed, this.settings);
		}

		/**
		 * Starts stand-ins and routers, publishes the lists and waits until all routers
		 * take requests.
		 * @return the site
		 * @throws IllegalStateException if anything does not start
		 */
		public Site start() {
			Site site = startEmpty();
			try {
				CommandResult published = site.publish();
				if (published.exitCode() != 0) {
					throw new IllegalStateException("The lists are not accepted: " + published.output());
				}
				site.awaitReady();
				return site;
			}
			catch (RuntimeException ex) {
				site.close();
				throw ex;
			}
		}

		/**
		 * Starts stand-ins and routers, and publishes nothing.
		 * @return the site
		 * @throws IllegalStateException if anything does not start
		 */
		public Site startEmpty() {
			Site site = new Site(this, temporaryDirectory());
			try {
				site.startRouters();
				return site;
			}
			catch (RuntimeException ex) {
				site.close();
				throw ex;
			}
		}

		private static Path temporaryDirectory() {
			try {
				return Files.createTempDirectory("ebonyford-site");
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
		}

	}

}
