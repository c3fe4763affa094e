package org.ebonyford.router.control;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.Set;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.ebonyford.control.ControlRecord;
import org.ebonyford.control.ControlState;
import org.ebonyford.identity.DataCentreId;
import org.ebonyford.router.log.FakeLogClient;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests {@link ControlPublisher}.
 */
public class ControlPublisherTest {

	private static final ControlChange OUT = new ControlChange.ForDataCentre(new DataCentreId("levi"), true);

	private FakeLogClient log;

	private ControlPublisher publisher;

	private int names;

	@BeforeMethod
	public void start() {
		this.log = new FakeLogClient();
		this.publisher = new ControlPublisher(this.log, Duration.ofSeconds(1), "ann", () -> "name" + this.names++,
				() -> {
				});
	}

	@Test
	public void testFirstPublicationIsAccepted() {
		assertAccepted(this.publisher.propose(publication(1), OptionalLong.empty()), 0);
	}

	@Test
	public void testLoserLearnsTheWinner() {
		append(-1, 1);
		raceOnce(0, 2);
		ControlOutcome outcome = this.publisher.propose(publication(3), OptionalLong.empty());
		ControlOutcome.Lost lost = (ControlOutcome.Lost) outcome;
		assertEquals(lost.winner().orElseThrow().author(), "bob");
		assertEquals(lost.inForce(), 1);
	}

	@Test
	public void testOutdatedBaseLosesWithoutAppending() {
		append(-1, 1);
		append(0, 2);
		ControlOutcome outcome = this.publisher.propose(publication(3), OptionalLong.of(0));
		assertEquals(((ControlOutcome.Lost) outcome).inForce(), 1);
		assertEquals(this.log.size(), 2);
	}

	@Test
	public void testTakeOutIsBasedAnewAfterARace() {
		append(-1, 1);
		raceOnce(0, 2);
		assertAccepted(this.publisher.insist(OUT), 3);
		assertEquals(this.publisher.inForce().orElseThrow().state().plans(), plans(2));
		assertEquals(this.publisher.inForce().orElseThrow().state().dataCentresOut(), Set.of(new DataCentreId("levi")));
	}

	@Test
	public void testEndlessRaceIsGivenUp() {
		append(-1, 1);
		this.log.race(() -> append(this.publisher.inForce().orElseThrow().state().version(), this.log.size() + 1));
		assertTrue(this.publisher.insist(OUT) instanceof ControlOutcome.Lost);
	}

	@Test
	public void testLostAnswerOfATakenRecordIsSettled() {
		this.log.befall(FakeLogClient.Fate.ANSWER_LOST);
		assertAccepted(this.publisher.propose(publication(1), OptionalLong.empty()), 0);
		assertEquals(this.log.size(), 1);
	}

	@Test
	public void testLostRecordIsAppendedAgain() {
		this.log.befall(FakeLogClient.Fate.LOST, FakeLogClient.Fate.REFUSED);
		assertAccepted(this.publisher.propose(publication(1), OptionalLong.empty()), 0);
	}

	@Test
	public void testLostAnswerAndLostRaceAreBothTold() {
		append(-1, 1);
		raceOnce(0, 2);
		this.log.befall(FakeLogClient.Fate.ANSWER_LOST);
		assertTrue(this.publisher.propose(publication(3), OptionalLong.empty()) instanceof ControlOutcome.Lost);
	}

	@Test
	public void testRefusedAppendsHaveNoEffect() {
		refuseAll();
		ControlOutcome outcome = this.publisher.propose(publication(1), OptionalLong.empty());
		assertEquals(outcome, new ControlOutcome.Unreachable("The log is down", false));
	}

	@Test
	public void testUnsettledAppendMayHaveEffect() {
		this.log.race(this.log::failReads);
		ControlOutcome outcome = this.publisher.propose(publication(1), OptionalLong.empty());
		assertEquals(outcome, new ControlOutcome.Unreachable("The log is down", true));
	}

	@Test
	public void testTakeOutNeedsAStateInForce() {
		assertEquals(this.publisher.insist(OUT), new ControlOutcome.NothingInForce());
	}

	@Test
	public void testRepeatedTakeOutChangesNothing() {
		append(-1, 1);
		this.publisher.insist(OUT);
		assertEquals(this.publisher.insist(OUT), new ControlOutcome.Unchanged(1));
	}

	private void refuseAll() {
		FakeLogClient.Fate refused = FakeLogClient.Fate.REFUSED;
		this.log.befall(refused, refused, refused, refused);
	}

	private void raceOnce(long base, int weight) {
		this.log.race(() -> {
			this.log.race(() -> {
			});
			append(base, weight);
		});
	}

	private void append(long base, int weight) {
		ControlState state = new ControlState(-1, plans(weight), uses(), Set.of(), Set.of(), Set.of());
		this.log.take(new ControlRecordCodec().encode(new ControlRecord(-1, 0, "other", "bob", base, state)));
	}

	private static void assertAccepted(ControlOutcome outcome, long version) {
		assertTrue(outcome instanceof ControlOutcome.Accepted, outcome.toString());
		assertEquals(((ControlOutcome.Accepted) outcome).record().offset(), version);
	}

	private static ControlChange publication(int weight) {
		return new ControlChange.ForPublication(plans(weight), uses());
	}

	private static String plans(int weight) {
		return "[plan gold]\nweight = " + weight + "\nmax-queued = 1\n";
	}

	private static String uses() {
		return "[pool p]\nkind = service\nwarm-limit = 1\ncold-limit = 1\n";
	}

}
