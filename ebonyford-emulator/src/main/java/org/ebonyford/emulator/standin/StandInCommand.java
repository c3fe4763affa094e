package org.ebonyford.emulator.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;

import org.ebonyford.emulator.http.Json;
import org.ebonyford.emulator.platform.ListStandIn;
import org.ebonyford.emulator.platform.LogStandIn;
import org.ebonyford.emulator.upstream.EngineStandIn;
import org.ebonyford.emulator.upstream.ServiceStandIn;
import org.ebonyford.emulator.upstream.UpstreamSettings;

/**
 * Runs stand-ins until the process is ended.
 */
@Command(name = "standin", description = "Runs stand-ins and prints their addresses as one line of JSON")
public final class StandInCommand implements Runnable {

	/**
	 * The port for tests.
	 */
	@Option(name = "--tests", description = "The port for truth, faults and orders; 0 lets the system choose")
	private int tests;

	/**
	 * The port of the log service.
	 */
	@Option(name = "--log", description = "Runs a log service on this port; 0 lets the system choose")
	private Integer log;

	/**
	 * The milliseconds for which the log keeps a record.
	 */
	@Option(name = "--log-retention-ms", description = "The milliseconds for which the log keeps a record")
	private long logRetentionMillis = 3_600_000L;

	/**
	 * The records that each stream of the log keeps.
	 */
	@Option(name = "--log-retention-records", description = "The records that each stream of the log keeps")
	private int logRetentionRecords = 1_000_000;

	/**
	 * The appends that the log takes in a second.
	 */
	@Option(name = "--log-appends-per-second", description = "The appends that the log takes in a second")
	private int logAppendsPerSecond = 500;

	/**
	 * The port of the VM list.
	 */
	@Option(name = "--vms", description = "Runs a VM list on this port; 0 lets the system choose")
	private Integer vms;

	/**
	 * The milliseconds after which a change of the list shows.
	 */
	@Option(name = "--vms-lag-ms", description = "The milliseconds after which a change of the list shows")
	private long vmsLagMillis = 200;

	/**
	 * The engines to run.
	 */
	@Option(name = "--engine", arity = 1,
			description = "Runs an engine: NAME[,cold=N][,warm=N][,min=N][,max=N][,step-us=N][,warming=N][,port=N]")
	private List<String> engines = new ArrayList<>();

	/**
	 * The services to run.
	 */
	@Option(name = "--service", arity = 1, description = "Runs a service: NAME[,cold=N][,warm=N][,min=N][,max=N]"
			+ "[,warming=N][,port=N], its costs in milliseconds")
	private List<String> services = new ArrayList<>();

	/**
	 * Creates a command.
	 */
	public StandInCommand() {
	}

	@Override
	public void run() {
		try (StandInHost host = new StandInHost(this.tests, start())) {
			System.out.println(Json.text(host.addresses()));
			System.out.flush();
			new CountDownLatch(1).await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private List<StandIn> start() {
		List<StandIn> standIns = new ArrayList<>();
		if (this.log != null) {
			standIns.add(new LogStandIn("log", this.log,
					new LogStandIn.Retention(this.logRetentionMillis, this.logRetentionRecords),
					this.logAppendsPerSecond));
		}
		if (this.vms != null) {
			standIns.add(new ListStandIn("vms", this.vms, this.vmsLagMillis));
		}
		this.engines
			.forEach((text) -> standIns.add(new EngineStandIn(UpstreamSettings.parse(text, UpstreamSettings::engine))));
		this.services.forEach(
				(text) -> standIns.add(new ServiceStandIn(UpstreamSettings.parse(text, UpstreamSettings::service))));
		return standIns;
	}

}
