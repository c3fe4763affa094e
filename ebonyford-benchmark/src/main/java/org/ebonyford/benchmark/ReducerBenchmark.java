package org.ebonyford.benchmark;

import java.util.concurrent.TimeUnit;

import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OperationsPerInvocation;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures the events that one core applies in a second.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.Throughput)
@OutputTimeUnit(TimeUnit.SECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class ReducerBenchmark {

	/**
	 * The events of one step of the router.
	 */
	private static final int EVENTS_PER_STEP = 2;

	/**
	 * The number of organisations.
	 */
	@Param({ "16", "290", "2900" })
	private int organisations;

	/**
	 * The number of upstreams.
	 */
	@Param({ "1", "10", "100" })
	private int upstreams;

	/**
	 * The router.
	 */
	private LoadedRouter router;

	/**
	 * Creates the router.
	 */
	@Setup
	public void create() {
		this.router = new LoadedRouter(this.organisations, this.upstreams);
	}

	/**
	 * Applies the end of one request and the arrival of another.
	 * @return the number of effects
	 */
	@Benchmark
	@OperationsPerInvocation(EVENTS_PER_STEP)
	public int endAndArrive() {
		return this.router.step();
	}

}
