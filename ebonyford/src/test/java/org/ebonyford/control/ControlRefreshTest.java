package org.ebonyford.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;

import org.testng.annotations.Test;

import org.ebonyford.configuration.ConfigurationReader;
import org.ebonyford.effect.Effect;
import org.ebonyford.effect.Outbox;
import org.ebonyford.event.Event;
import org.ebonyford.identity.Incarnation;
import org.ebonyford.identity.VmId;

import static org.quicktheories.QuickTheory.qt;
import static org.quicktheories.generators.SourceDSL.longs;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests {@link ControlRefresh} with routers that read from and append to one log.
 */
public class ControlRefreshTest {

	@Test
	public void testStateInForceStaysInTheLogThroughOutagesAndRestarts() {
		qt().withExamples(300)
			.forAll(longs().all())
			.check((seed) -> new Fleet(4, new RefreshPolicy(400, 100, 20), 10, new Random(seed)).survives(20_000));
	}

	@Test
	public void testStateInForceStaysWhereItIsWhileNothingChangesIt() {
		Fleet fleet = new Fleet(3, new RefreshPolicy(400, 100, 20), 10, new Random(1));
		fleet.run(5000);
		assertTrue(fleet.log.stream().allMatch((record) -> record.state().plans().equals(ControlLogTest.plans(1))));
	}

	@Test
	public void testFewRoutersOfALargeFleetAppendTheSameState() {
		Fleet fleet = new Fleet(340, new RefreshPolicy(1_800_000, 300_000, 60_000), 500, new Random(1));
		fleet.run(2_400_000);
		assertTrue(fleet.log.size() >= 2 && fleet.log.size() <= 4, fleet.log.size() + " records");
	}

	@Test
	public void testRouterWithAClockThatRunsAheadAppendsNoMoreOftenThanItMayRetry() {
		ControlLog ahead = ControlLogTest.log("a");
		Outbox outbox = new Outbox();
		int appends = 0;
		for (int time = 0; time < 1000; time++) {
			ControlRecord record = ControlLogTest.record(appends, appends - 1, 1);
			ahead.read(new Event.ControlRead(time, 0, appends + 1, appends + 1, List.of(record)), outbox);
			outbox.drain();
			ahead.tick(time, time + 1_000_000_000L, outbox);
			appends += outbox.drain().size();
		}
		assertEquals(appends, 20);
	}

	/**
	 * Routers that read one log, which has outages and loses appends.
	 */
	static final class Fleet {

		private static final long RETENTION = 1000;

		private static final long LONGEST_OUTAGE = 300;

		private final RefreshPolicy policy;

		private final long step;

		private final Random random;

		private final List<ControlRecord> log = new ArrayList<>();

		private final List<ControlLog> routers = new ArrayList<>();

		private final List<Long> positions = new ArrayList<>();

		private long inForce = -1;

		private long previous = -1;

		private long time;

		private long downUntil;

		Fleet(int routers, RefreshPolicy policy, long step, Random random) {
			this.policy = policy;
			this.step = step;
			this.random = random;
			for (int index = 0; index < routers; index++) {
				this.routers.add(null);
				this.positions.add(0L);
				restart(index);
			}
			append(ControlLogTest.record(0, -1, 1));
		}

		boolean survives(long millis) {
			while (this.time < millis) {
				disturb();
				advance();
				if (this.time - this.log.get((int) this.inForce).appendedAt() > RETENTION) {
					return false;
				}
			}
			return true;
		}

		void run(long millis) {
			while (this.time < millis) {
				advance();
			}
		}

		private void disturb() {
			if (this.random.nextInt(50) == 0) {
				restart(this.random.nextInt(this.routers.size()));
			}
			if (this.time > this.downUntil + LONGEST_OUTAGE && this.random.nextInt(50) == 0) {
				this.downUntil = this.time + this.random.nextInt((int) LONGEST_OUTAGE);
			}
			if (this.time >= this.downUntil && this.random.nextInt(100) == 0) {
				long base = this.random.nextBoolean() ? this.inForce : this.previous;
				append(ControlLogTest.record(0, base, this.random.nextInt(3)));
			}
		}

		private void advance() {
			this.time += this.step;
			List<Effect> effects = new ArrayList<>();
			for (int router = 0; router < this.routers.size(); router++) {
				Outbox outbox = new Outbox();
				read(router, outbox);
				outbox.drain();
				this.routers.get(router).tick(this.time, this.time, outbox);
				effects.addAll(outbox.drain());
			}
			effects.forEach((effect) -> arrive(((Effect.AppendControl) effect).record()));
		}

		private void arrive(ControlRecord record) {
			boolean lost = this.time < this.downUntil || this.random.nextInt(4) == 0;
			if (!lost) {
				append(record);
			}
		}

		private void append(ControlRecord record) {
			long offset = this.log.size();
			ControlState content = record.state();
			ControlState state = new ControlState(offset, content.plans(), content.uses(), Set.of(), Set.of(),
					Set.of());
			this.log.add(new ControlRecord(offset, this.time, "id" + offset, "test", record.basedOn(), state));
			if (record.basedOn() == this.inForce && !content.plans().equals(ControlLogTest.plans(0))) {
				this.previous = this.inForce;
				this.inForce = offset;
			}
		}

		private void read(int router, Outbox outbox) {
			if (this.time < this.downUntil) {
				return;
			}
			int end = this.log.size();
			long first = this.log.stream().takeWhile((record) -> this.time - record.appendedAt() > retention()).count();
			int from = (int) Math.max(first, this.positions.get(router));
			this.positions.set(router, (long) end);
			this.routers.get(router)
				.read(new Event.ControlRead(this.time, first, end, end, this.log.subList(from, end)), outbox);
		}

		private long retention() {
			return Math.max(RETENTION, 2 * this.policy.ageMillis());
		}

		private void restart(int router) {
			this.routers.set(router, new ControlLog(new Incarnation(new VmId("vm" + router), this.time),
					ConfigurationReader.ForIni.INSTANCE, this.policy, () -> this.time));
			this.positions.set(router, 0L);
		}

	}

}
