package org.ebonyford.emulator.truth;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.IntSupplier;
import java.util.stream.Collectors;

/**
 * Counts what really runs at one upstream. It is not safe for use by several threads.
 */
public final class Ledger {

	/**
	 * The number of runs that are kept.
	 */
	private static final int MAX_RUNS = 500_000;

	/**
	 * The runs in the order in which they began.
	 */
	private final List<Run> runs = new ArrayList<>();

	/**
	 * The cost served to each organisation.
	 */
	private final Map<String, Long> served = new HashMap<>();

	/**
	 * The moments at which there was more to run than the upstream bore.
	 */
	private final List<Overload> overloads = new ArrayList<>();

	/**
	 * The moments at which runs began although the upstream was told to leave.
	 */
	private final List<Long> begunAfterLeave = new ArrayList<>();

	/**
	 * Tells how many requests the upstream bears.
	 */
	private final IntSupplier bears;

	/**
	 * The runs that came to their end.
	 */
	private long completed;

	/**
	 * The runs that were cancelled.
	 */
	private long cancelled;

	/**
	 * The requests that the upstream declined to run.
	 */
	private long declined;

	/**
	 * The times that the upstream fell over.
	 */
	private long falls;

	/**
	 * The times that a marked request crashed the upstream.
	 */
	private long crashes;

	/**
	 * The requests that run.
	 */
	private int running;

	/**
	 * The most requests that ran at any moment.
	 */
	private int maxRunning;

	/**
	 * The milliseconds that slots were in use.
	 */
	private long busySlotMillis;

	/**
	 * The milliseconds that slots could have been in use.
	 */
	private long borneSlotMillis;

	/**
	 * Until when the slots were measured, in milliseconds since the epoch.
	 */
	private long measuredUntil = System.currentTimeMillis();

	/**
	 * When the upstream was told to leave, or 0.
	 */
	private long leftAt;

	/**
	 * When the last run began, or 0.
	 */
	private long lastBegunAt;

	/**
	 * Creates a ledger.
	 * @param bears tells how many requests the upstream bears at the moment of the call
	 */
	public Ledger(IntSupplier bears) {
		this.bears = bears;
	}

	/**
	 * Records that a run began.
	 * @param requestId the name of the request
	 * @param key the idempotency key of the request
	 * @param organisation the organisation that the request was marked with
	 * @return the number of the run
	 * @throws IllegalStateException if more runs began than are kept
	 */
	public int begin(String requestId, String key, String organisation) {
		if (this.runs.size() == MAX_RUNS) {
			throw new IllegalStateException("The ledger is full");
		}
		long now = measure();
		this.running++;
		this.maxRunning = Math.max(this.maxRunning, this.running);
		this.lastBegunAt = now;
		if (this.leftAt > 0) {
			this.begunAfterLeave.add(now);
		}
		this.runs.add(Run.begun(requestId, key, organisation, now));
		return this.runs.size() - 1;
	}

	/**
	 * Records cost of a run.
	 * @param run the number of the run
	 * @param cost the tokens or calls to add
	 */
	public void charge(int run, long cost) {
		Run charged = this.runs.get(run).charged(cost);
		this.runs.set(run, charged);
		this.served.merge(charged.organisation(), cost, Long::sum);
	}

	/**
	 * Records that a run ended.
	 * @param run the number of the run
	 * @param ending how it ended
	 */
	public void end(int run, Run.Ending ending) {
		long now = measure();
		this.running--;
		this.runs.set(run, this.runs.get(run).ended(ending, now));
		if (ending == Run.Ending.COMPLETED) {
			this.completed++;
		}
		if (ending == Run.Ending.CANCELLED) {
			this.cancelled++;
		}
	}

	/**
	 * Records that the upstream declined to run a request.
	 */
	public void decline() {
		this.declined++;
	}

	/**
	 * Records that the upstream fell over under too much work.
	 */
	public void fall() {
		this.falls++;
		this.overloads.add(new Overload(System.currentTimeMillis(), this.running, this.bears.getAsInt()));
	}

	/**
	 * Records that a marked request crashed the upstream.
	 */
	public void crash() {
		this.crashes++;
	}

	/**
	 * Records that the upstream was told to leave or to stay.
	 * @param leaving whether it is to leave
	 */
	public void leave(boolean leaving) {
		this.leftAt = leaving ? System.currentTimeMillis() : 0;
	}

	/**
	 * Brings the slots' use up to date. It is to be called right before what the upstream
	 * bears changes.
	 * @return the milliseconds since the epoch
	 */
	public long measure() {
		long now = System.currentTimeMillis();
		long passed = Math.max(0, now - this.measuredUntil);
		this.busySlotMillis += passed * this.running;
		this.borneSlotMillis += passed * this.bears.getAsInt();
		this.measuredUntil = now;
		return now;
	}

	/**
	 * Returns the requests that run.
	 * @return their number
	 */
	public int running() {
		return this.running;
	}

	/**
	 * Returns the runs that a request name or an idempotency key had.
	 * @param key the idempotency key
	 * @return their number
	 */
	public long runsOfKey(String key) {
		return this.runs.stream().filter((run) -> run.key().equals(key)).count();
	}

	/**
	 * Tells the truth.
	 * @param name the name of the upstream
	 * @param incarnation the number of times that the upstream started
	 * @param withRuns whether each run is told
	 * @return the truth
	 */
	public Truth tell(String name, long incarnation, boolean withRuns) {
		long now = measure();
		return new Truth(name, now, incarnation, this.running, this.bears.getAsInt(), this.runs.size(), this.completed,
				this.cancelled, this.declined, this.falls, this.crashes, this.maxRunning, this.busySlotMillis,
				this.borneSlotMillis, this.leftAt, this.begunAfterLeave, this.lastBegunAt, this.overloads, this.served,
				repeated(this.runs, Run::key), repeated(this.runs, Run::requestId), withRuns ? this.runs : List.of());
	}

	/**
	 * Returns the names that stand more than once.
	 * @param runs the runs
	 * @param name tells the name of a run, where an empty one does not count
	 * @return the names in alphabetical order
	 */
	public static List<String> repeated(Collection<Run> runs, Function<Run, String> name) {
		Map<String, Long> counts = runs.stream()
			.map(name)
			.filter((value) -> !value.isEmpty())
			.collect(Collectors.groupingBy(Function.identity(), Collectors.counting()));
		return counts.entrySet()
			.stream()
			.filter((entry) -> entry.getValue() > 1)
			.map(Map.Entry::getKey)
			.sorted()
			.toList();
	}

}
