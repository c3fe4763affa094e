package org.ebonyford.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.testng.annotations.Test;

import org.ebonyford.effect.Outbox;
import org.ebonyford.event.Event;

import static org.quicktheories.QuickTheory.qt;
import static org.quicktheories.generators.SourceDSL.longs;

/**
 * Tests {@link ControlLog} against a naive reader that sees every record, with readers
 * that start late, miss records, lose the log and hear from each other.
 */
public class ControlLogPropertyTest {

	private static final int RUNS = 2000;

	@Test
	public void testReadersAgreeWithTheReaderThatSawAll() {
		qt().withExamples(RUNS).forAll(longs().all()).check((seed) -> new World(new Random(seed), true).run());
	}

	@Test
	public void testReadersMeetAgainAfterTheLogLostTheState() {
		qt().withExamples(RUNS).forAll(longs().all()).check((seed) -> new World(new Random(seed), false).recover());
	}

	/**
	 * A log with retention, operators who race, and routers.
	 */
	static final class World {

		private static final int STEPS = 120;

		private static final int ROUTERS = 4;

		private static final long RETENTION = 1000;

		private final Random random;

		private final List<ControlRecord> log = new ArrayList<>();

		private final Map<Long, ControlState> accepted = new HashMap<>();

		private final List<ControlLog> routers = new ArrayList<>();

		private final List<Long> positions = new ArrayList<>();

		private final List<Long> versions = new ArrayList<>();

		private final boolean refreshed;

		private long inForce = -1;

		private long time;

		World(Random random, boolean refreshed) {
			this.random = random;
			this.refreshed = refreshed;
			for (int index = 0; index < ROUTERS; index++) {
				this.routers.add(ControlLogTest.log("vm" + index));
				this.positions.add(0L);
				this.versions.add(-1L);
			}
		}

		boolean run() {
			append(-1, 1);
			for (int step = 0; step < STEPS; step++) {
				step();
				if (!agree()) {
					return false;
				}
			}
			return converge();
		}

		/**
		 * Lets the log lose the state in force, then publishes twice.
		 */
		boolean recover() {
			append(-1, 1);
			for (int step = 0; step < STEPS; step++) {
				step();
				if (!forward()) {
					return false;
				}
			}
			publishAndRead();
			publishAndRead();
			return forward() && this.versions.stream().allMatch((version) -> version == this.inForce);
		}

		private void publishAndRead() {
			append(this.inForce, this.random.nextInt(3) + 1);
			for (int router = 0; router < ROUTERS; router++) {
				read(router, Integer.MAX_VALUE);
			}
		}

		private void step() {
			int router = this.random.nextInt(ROUTERS);
			switch (this.random.nextInt(10)) {
				case 0, 1, 2 -> read(router, this.random.nextInt(3) + 1);
				case 3, 4 -> relay(router, this.random.nextInt(ROUTERS));
				case 5 -> append(this.inForce, this.random.nextInt(4));
				case 6 -> append(staleBase(), this.random.nextInt(4));
				case 7 -> restart(router);
				case 8 -> pass(this.random.nextInt(400));
				default -> read(router, Integer.MAX_VALUE);
			}
		}

		private void pass(long millis) {
			this.time += millis;
			if (this.refreshed) {
				refreshBeforeRetention();
			}
		}

		/**
		 * Keeps the promise that the rule for the root rests on: the state in force is
		 * appended anew before its record is removed.
		 */
		private void refreshBeforeRetention() {
			ControlRecord current = this.log.get((int) this.inForce);
			if (this.time - current.appendedAt() > RETENTION / 2) {
				appendState(this.inForce, current.state());
			}
		}

		private long staleBase() {
			List<Long> versions = this.accepted.keySet().stream().sorted().toList();
			return versions.get(Math.max(0, versions.size() - 1 - this.random.nextInt(3)));
		}

		private void append(long base, int weight) {
			appendState(base, ControlLogTest.record(0, base, weight).state());
		}

		private void appendState(long base, ControlState content) {
			long offset = this.log.size();
			ControlState state = new ControlState(offset, content.plans(), content.uses(), content.dataCentresOut(),
					content.vmsOut(), content.upstreamsOut());
			this.log.add(new ControlRecord(offset, this.time, "id" + offset, "test", base, state));
			boolean valid = !content.plans().equals(ControlLogTest.plans(0));
			if (base == this.inForce && valid) {
				this.inForce = offset;
				this.accepted.put(offset, state);
			}
		}

		private long first() {
			return this.log.stream().filter((record) -> this.time - record.appendedAt() > RETENTION).count();
		}

		private void read(int router, int limit) {
			long first = first();
			long from = Math.max(first, this.positions.get(router));
			long next = Math.min(this.log.size(), from + limit);
			List<ControlRecord> records = this.log.subList((int) from, (int) next);
			this.positions.set(router, next);
			this.routers.get(router)
				.read(new Event.ControlRead(this.time, first, next, this.log.size(), records), new Outbox());
		}

		private void relay(int from, int to) {
			this.routers.get(from).current().ifPresent((state) -> this.routers.get(to).offered(state, new Outbox()));
		}

		private void restart(int router) {
			this.routers.set(router, ControlLogTest.log("vm" + router));
			this.positions.set(router, 0L);
			this.versions.set(router, -1L);
		}

		private boolean agree() {
			return forward() && this.routers.stream()
				.flatMap((router) -> router.current().stream())
				.allMatch((state) -> state.equals(this.accepted.get(state.version())));
		}

		private boolean forward() {
			for (int router = 0; router < ROUTERS; router++) {
				long version = this.routers.get(router).version();
				if (version < this.versions.get(router)) {
					return false;
				}
				this.versions.set(router, version);
			}
			return true;
		}

		private boolean converge() {
			for (int router = 0; router < ROUTERS; router++) {
				read(router, Integer.MAX_VALUE);
			}
			return agree() && this.versions.stream().allMatch((version) -> version == this.inForce);
		}

	}

}
