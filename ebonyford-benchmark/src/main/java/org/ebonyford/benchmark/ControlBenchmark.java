package org.ebonyford.benchmark;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

import org.ebonyford.configuration.Configuration;
import org.ebonyford.configuration.ConfigurationReader;
import org.ebonyford.control.ControlState;
import org.ebonyford.identity.DataCentreId;
import org.ebonyford.identity.VmId;
import org.ebonyford.membership.Members;
import org.ebonyford.membership.VmEntry;
import org.ebonyford.membership.VmList;
import org.ebonyford.topology.Topology;
import org.ebonyford.topology.TopologyBuilder;

/**
 * Measures what a change of the control state costs a router.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class ControlBenchmark {

	/**
	 * The data centres that VMs and upstreams stand in.
	 */
	private static final int DATA_CENTRES = 7;

	/**
	 * The organisations, upstreams and VMs of the fleet.
	 */
	@Param({ "16/10/7", "2900/790/340" })
	private String size;

	/**
	 * The text of the plans file.
	 */
	private String plans;

	/**
	 * The text of the uses file.
	 */
	private String uses;

	/**
	 * The configuration that the texts hold.
	 */
	private Configuration configuration;

	/**
	 * The VMs.
	 */
	private Members members;

	/**
	 * Makes the texts and the list.
	 */
	@Setup
	public void setUp() {
		List<Integer> counts = List.of(this.size.split("/")).stream().map(Integer::valueOf).toList();
		this.plans = plans(counts.get(0));
		this.uses = uses(counts.get(1));
		this.configuration = read();
		this.members = members(counts.get(2));
		System.out.println("Characters of both texts: " + (this.plans.length() + this.uses.length()));
	}

	/**
	 * Reads and checks the two texts.
	 * @return the configuration
	 */
	@Benchmark
	public Configuration read() {
		return ConfigurationReader.ForIni.INSTANCE.read(this.plans, this.uses);
	}

	/**
	 * Builds the topology with one data centre out of service.
	 * @return the topology
	 */
	@Benchmark
	public Topology build() {
		ControlState state = new ControlState(0, this.plans, this.uses, Set.of(dataCentre(0)), Set.of(), Set.of());
		return new TopologyBuilder(new VmId("vm-0"), dataCentre(0)).build(this.configuration, state, this.members,
				Set.of());
	}

	private static String plans(int organisations) {
		StringBuilder text = new StringBuilder("[plan gold]\nweight = 3\nmax-queued = 100\n");
		for (int index = 0; index < organisations; index++) {
			text.append("[organisation organisation-")
				.append(index)
				.append("]\nplan = gold\nkey-sha256 = ")
				.append(String.format("%064x", index))
				.append('\n');
		}
		return text.toString();
	}

	private static String uses(int upstreams) {
		StringBuilder text = new StringBuilder("[pool llm]\nkind = engine\nwarm-limit = 16\ncold-limit = 2\n");
		for (int index = 0; index < upstreams; index++) {
			text.append("[upstream engine-")
				.append(index)
				.append("]\npool = llm\ndata-centre = ")
				.append(dataCentre(index))
				.append("\naddress = 10.0.")
				.append(index / 250)
				.append('.')
				.append(index % 250)
				.append(":8000\n");
		}
		return text.append("[use gold llm]\nclasses = chat\n").toString();
	}

	private static Members members(int vms) {
		List<VmEntry> entries = new ArrayList<>();
		for (int index = 0; index < vms; index++) {
			entries.add(new VmEntry(new VmId("vm-" + index), dataCentre(index), "10.1.0.1:8082", false));
		}
		Members members = new Members();
		members.offered(new VmList(1, entries, List.of()));
		return members;
	}

	private static DataCentreId dataCentre(int index) {
		return new DataCentreId("dc-" + index % DATA_CENTRES);
	}

}
