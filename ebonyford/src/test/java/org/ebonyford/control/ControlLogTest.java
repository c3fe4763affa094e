package org.ebonyford.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.ebonyford.configuration.ConfigurationReader;
import org.ebonyford.effect.Effect;
import org.ebonyford.effect.Outbox;
import org.ebonyford.event.Event;
import org.ebonyford.identity.Incarnation;
import org.ebonyford.identity.VmId;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests {@link ControlLog}.
 */
public class ControlLogTest {

	private static final String USES = "[pool p]\nkind = service\nwarm-limit = 1\ncold-limit = 1\n";

	private static final RefreshPolicy POLICY = new RefreshPolicy(1000, 100, 50);

	private Outbox outbox;

	private ControlLog control;

	@BeforeMethod
	public void start() {
		this.outbox = new Outbox();
		this.control = log("a");
	}

	@Test
	public void testNothingIsInForceBeforeTheEndOfTheLog() {
		this.control.read(new Event.ControlRead(1, 0, 1, 2, List.of(record(0, -1, 1))), this.outbox);
		assertTrue(this.control.current().isEmpty());
	}

	@Test
	public void testFirstRecordOnTheAcceptedVersionWins() {
		read(0, record(0, -1, 1), record(1, 0, 2), record(2, 0, 3));
		assertEquals(this.control.version(), 1);
	}

	@Test
	public void testInvalidRecordLeavesTheOldState() {
		read(0, record(0, -1, 1), record(1, 0, 0), record(2, 0, 3));
		assertEquals(this.control.version(), 2);
	}

	@Test
	public void testRejectionIsNotedWithItsReason() {
		read(0, record(0, -1, 1), record(1, 0, 0));
		assertTrue(this.outbox.drain()
			.stream()
			.anyMatch((effect) -> effect instanceof Effect.Note note && note.subject().equals("1 not valid")));
	}

	@Test
	public void testRootAfterRetentionHasTheGreatestBase() {
		read(5, record(5, 2, 1), record(6, 3, 2), record(7, 3, 3));
		assertEquals(this.control.version(), 6);
	}

	@Test
	public void testHigherVersionOfAPeerWins() {
		read(0, record(0, -1, 1));
		assertTrue(this.control.offered(record(4, 0, 2).state(), this.outbox));
		assertEquals(this.control.version(), 4);
	}

	@Test
	public void testLowerVersionOfAPeerIsIgnored() {
		read(0, record(0, -1, 1), record(1, 0, 2));
		assertFalse(this.control.offered(record(0, -1, 1).state(), this.outbox));
	}

	@Test
	public void testPeerStateThatTheLogExcludesIsRejected() {
		read(0, record(0, -1, 1), record(1, 0, 2), record(2, 0, 3));
		assertFalse(this.control.offered(record(2, 0, 3).state(), this.outbox));
	}

	@Test
	public void testStateInferredByAPeerDoesNotReplaceTheTrueOne() {
		read(4, record(4, 2, 1), record(5, 4, 2), record(6, 4, 3));
		assertFalse(this.control.offered(record(6, 4, 3).state(), this.outbox));
		assertEquals(this.control.version(), 5);
	}

	@Test
	public void testWrongRootYieldsToTheRenewalOfTheTrueState() {
		read(6, record(6, 4, 3));
		assertEquals(this.control.version(), 6);
		read(6, record(7, 5, 2));
		assertEquals(this.control.version(), 7);
	}

	@Test
	public void testStateThatTheLogLostComesFromAPeer() {
		read(9);
		assertTrue(this.control.offered(record(3, -1, 1).state(), this.outbox));
	}

	@Test
	public void testLoserDoesNotReplaceAPeersStateThatTheLogLost() {
		this.control.offered(record(3, 2, 1).state(), this.outbox);
		read(5, record(5, 2, 2));
		assertEquals(this.control.version(), 3);
	}

	@Test
	public void testPeersCorrectAStateThatOnlyAPeerKnew() {
		this.control.offered(record(3, 2, 1).state(), this.outbox);
		read(5, record(5, 2, 2));
		assertTrue(this.control.offered(record(5, 2, 2).state(), this.outbox));
	}

	@Test
	public void testInvalidPeerStateIsRejected() {
		assertFalse(this.control.offered(record(2, 0, 0).state(), this.outbox));
	}

	@Test
	public void testChainContinuesFromThePeersVersion() {
		this.control.offered(record(6, 3, 2).state(), this.outbox);
		read(5, record(5, 2, 1), record(6, 3, 2), record(7, 3, 3), record(8, 6, 4));
		assertEquals(this.control.version(), 8);
	}

	@Test
	public void testStateIsAppendedAnewWhenItIsOld() {
		read(0, record(0, -1, 1));
		this.outbox.drain();
		this.control.tick(0, 999, this.outbox);
		assertTrue(this.outbox.drain().isEmpty());
		this.control.tick(0, 1100, this.outbox);
		Effect.AppendControl append = (Effect.AppendControl) this.outbox.drain().get(0);
		assertEquals(append.record().basedOn(), 0);
		assertEquals(append.record().state().plans(), plans(1));
	}

	@Test
	public void testStateThatTheLogLostIsAppendedAnew() {
		this.control.offered(record(3, -1, 1).state(), this.outbox);
		read(9);
		this.outbox.drain();
		this.control.tick(0, 0, this.outbox);
		this.control.tick(100, 100, this.outbox);
		assertEquals(this.outbox.drain().size(), 1);
	}

	@Test
	public void testRoutersRefreshAtDifferentTimes() {
		Set<Long> times = new TreeSet<>();
		for (String vm : List.of("a", "b", "c", "d", "e")) {
			times.add(firstRefresh(log(vm)));
		}
		assertTrue(times.size() >= 4, times.toString());
	}

	private long firstRefresh(ControlLog log) {
		Outbox effects = new Outbox();
		log.read(new Event.ControlRead(0, 0, 1, 1, List.of(record(0, -1, 1))), effects);
		effects.drain();
		for (long time = 0; time < 2000; time++) {
			log.tick(time, time, effects);
			if (!effects.drain().isEmpty()) {
				return time;
			}
		}
		return -1;
	}

	private void read(long first, ControlRecord... records) {
		long next = (records.length == 0) ? first : records[records.length - 1].offset() + 1;
		this.control.read(new Event.ControlRead(0, first, next, next, List.of(records)), this.outbox);
	}

	static ControlLog log(String vm) {
		List<Long> appends = new ArrayList<>();
		return new ControlLog(new Incarnation(new VmId(vm), 1), ConfigurationReader.ForIni.INSTANCE, POLICY, () -> {
			appends.add(0L);
			return appends.size();
		});
	}

	static String plans(int weight) {
		return "[plan gold]\nweight = " + weight + "\nmax-queued = 1\n";
	}

	static ControlRecord record(long offset, long base, int weight) {
		ControlState state = new ControlState(offset, plans(weight), USES, Set.of(), Set.of(), Set.of());
		return new ControlRecord(offset, 0, "id" + offset, "test", base, state);
	}

}
