package org.ebonyford.claim;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;

import org.testng.annotations.Test;

import org.ebonyford.effect.Effect;
import org.ebonyford.event.Event.AppendEnded.Result;
import org.ebonyford.identity.RequestId;
import org.ebonyford.request.Ending;
import org.ebonyford.request.Outcome;
import org.ebonyford.request.Refusal;
import org.ebonyford.request.RefusalReason;
import org.ebonyford.request.Request;

import static org.quicktheories.QuickTheory.qt;
import static org.quicktheories.generators.SourceDSL.longs;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests {@link Claims}.
 */
public class ClaimsTest {

	private static final long DISPATCH_MILLIS = 2_000;

	private static final int KEY_STEPS = 200;

	private static final int JUMP_STEPS = 40;

	@Test
	public void testKeyRunsAtMostOnceUnderAnyFaults() {
		qt().withExamples(1_000).forAll(longs().all()).check((seed) -> {
			storm(seed, 400, 400);
			return true;
		});
	}

	@Test
	public void testKeyRunsAtMostOnceWhileTheLogRemovesRecords() {
		qt().withExamples(200).forAll(longs().all()).check((seed) -> {
			storm(seed, 3_000, 2_000);
			return true;
		});
	}

	@Test
	public void testRepeatGetsTheFirstAnswer() {
		ClaimFleet fleet = ready(2);
		Request first = running(fleet);
		fleet.nodes.get(0).end(first.id(), Ending.COMPLETED, true);
		fleet.heal(2);
		assertEquals(replayed(fleet, fleet.nodes.get(1).begin("k", "f")), first.id().value());
	}

	@Test
	public void testRepeatDuringTheRunWaitsForItsAnswer() {
		ClaimFleet fleet = ready(2);
		Request first = running(fleet);
		Request repeat = fleet.nodes.get(1).begin("k", "f");
		fleet.heal(2);
		assertFalse(fleet.ledger.answers.containsKey(repeat.id()));
		fleet.nodes.get(0).end(first.id(), Ending.COMPLETED, true);
		fleet.heal(2);
		assertEquals(replayed(fleet, repeat), first.id().value());
	}

	@Test
	public void testHolderAnswersRepeatsWhileTheLogIsOutOfReach() {
		ClaimFleet fleet = ready(2);
		Request first = running(fleet);
		Request repeat = fleet.nodes.get(1).begin("k", "f");
		fleet.log.reachable = false;
		fleet.nodes.get(0).end(first.id(), Ending.COMPLETED, true);
		fleet.pass(200);
		fleet.deliverAll();
		assertEquals(replayed(fleet, repeat), first.id().value());
	}

	@Test
	public void testAnotherRequestUnderTheSameKeyIsRefused() {
		ClaimFleet fleet = ready(2);
		running(fleet);
		assertRefused(fleet, fleet.nodes.get(1).begin("k", "other"), RefusalReason.KEY_MISMATCH, Outcome.NOT_RUN);
	}

	@Test
	public void testRepeatOfAClaimWhoseVmLeftIsUnknownAtOnce() {
		ClaimFleet fleet = ready(2);
		running(fleet);
		fleet.nodes.get(1).left(fleet.nodes.get(0).vm);
		assertRefused(fleet, fleet.nodes.get(1).begin("k", "f"), RefusalReason.KEY_UNKNOWN, Outcome.UNKNOWN);
	}

	@Test
	public void testRouterThatHasNotReadTheWindowRefuses() {
		ClaimFleet fleet = new ClaimFleet(1);
		assertRefused(fleet, fleet.nodes.get(0).begin("k", "f"), RefusalReason.CLAIMS_INCOMPLETE, Outcome.NOT_RUN);
	}

	@Test
	public void testClaimThatShowsUpAfterItsRefusalIsReleased() {
		ClaimFleet fleet = ready(2);
		Request late = fleet.nodes.get(0).begin("k", "f");
		fleet.pass(ClaimFleet.SETTINGS.patienceMillis());
		assertRefused(fleet, late, RefusalReason.LOG_UNAVAILABLE, Outcome.NOT_RUN);
		fleet.heal(3);
		Request second = fleet.nodes.get(1).begin("k", "f");
		fleet.heal(1);
		assertEquals(fleet.nodes.get(1).ready.keySet(), Set.of(second.id()));
		assertTrue(fleet.nodes.get(0).ready.isEmpty());
	}

	@Test
	public void testRepeatIsAnsweredAtItsDeadline() {
		ClaimFleet fleet = ready(2);
		running(fleet);
		Request repeat = fleet.nodes.get(1).begin("k", "f");
		fleet.nodes.get(1).claims.tick(repeat.deadline(), fleet.time, fleet.nodes.get(1).outbox);
		fleet.nodes.get(1).drain();
		assertRefused(fleet, repeat, RefusalReason.DEADLINE, Outcome.UNKNOWN);
	}

	@Test
	public void testClaimIsMadeAtTheClockReadingHoweverOldTheWallClockTime() {
		ClaimFleet fleet = ready(1);
		ClaimFleet.Node node = fleet.nodes.get(0);
		Request request = fleet.request("k", "f", Long.MAX_VALUE);
		node.claims.begin(fleet.time + 5_000, fleet.time, request, node.outbox);
		node.drain();
		fleet.landAll(Result.APPENDED, true);
		node.read(1);
		assertEquals(node.claims.table().oldest().orElseThrow().statement().createdAt(), fleet.time + 5_000);
	}

	@Test
	public void testPausedHolderOfAForgottenKeyDoesNotSend() {
		ClaimFleet fleet = ready(2);
		Request first = fleet.nodes.get(0).begin("k", "f");
		fleet.heal(1);
		fleet.nodes.get(0).pause();
		fleet.nodes.get(1).left(fleet.nodes.get(0).vm);
		fleet.nodes.get(1).begin("k", "f");
		for (int step = 0; step < 700; step++) {
			fleet.pass(100);
			fleet.landAll(Result.APPENDED, true);
			fleet.nodes.get(1).read(100);
		}
		fleet.nodes.get(1).begin("k", "f");
		fleet.landAll(Result.APPENDED, true);
		fleet.nodes.get(1).read(100);
		assertEquals(fleet.nodes.get(1).ready.size(), 1);
		fleet.nodes.get(0).resume();
		assertFalse(fleet.nodes.get(0).claims.maySend(first.id()));
		fleet.heal(2);
		assertFalse(fleet.nodes.get(0).claims.maySend(first.id()));
	}

	@Test
	public void testRouterThatStartsAfterALongOutageLearnsWhatRanBefore() {
		ClaimFleet fleet = ready(2);
		Request first = running(fleet);
		fleet.nodes.get(0).end(first.id(), Ending.COMPLETED, true);
		fleet.heal(2);
		fleet.maxOutage = 2 * ClaimFleet.SETTINGS.retentionMillis();
		fleet.log.reachable = false;
		for (long passed = 0; passed < fleet.maxOutage; passed += 100) {
			fleet.pass(100);
			fleet.landAll(Result.FAILED, false);
		}
		fleet.nodes.get(1).restart(false);
		fleet.log.reachable = true;
		fleet.nodes.get(1).read(100);
		Request early = fleet.nodes.get(1).begin("k", "f");
		assertRefused(fleet, early, RefusalReason.CLAIMS_INCOMPLETE, Outcome.NOT_RUN);
		fleet.heal(20);
		assertEquals(replayed(fleet, fleet.nodes.get(1).begin("k", "f")), first.id().value());
	}

	@Test
	public void testNeighboursStatementsShareOneAppend() {
		ClaimFleet fleet = ready(4);
		fleet.writers(List.of(fleet.nodes.get(3).vm));
		fleet.nodes.forEach((node) -> node.begin("k" + node.vm, "f"));
		fleet.deliverAll();
		fleet.landAll(Result.APPENDED, true);
		fleet.pass(60);
		fleet.landAll(Result.APPENDED, true);
		fleet.nodes.forEach((node) -> node.read(100));
		fleet.nodes.forEach((node) -> assertEquals(node.ready.size(), 1));
		assertEquals(fleet.nodes.stream().mapToLong((node) -> node.claims.appends()).sum(),
				fleet.nodes.get(3).claims.appends());
		assertEquals(fleet.nodes.get(3).claims.appends(), 2);
	}

	@Test
	public void testRouterWhoseWriterIsSilentAppendsForItself() {
		ClaimFleet fleet = ready(2);
		fleet.writers(List.of(fleet.nodes.get(1).vm));
		fleet.nodes.get(1).pause();
		Request request = fleet.nodes.get(0).begin("k", "f");
		fleet.pass(ClaimFleet.SETTINGS.handOverMillis());
		fleet.landAll(Result.APPENDED, true);
		fleet.nodes.get(0).read(100);
		assertEquals(fleet.nodes.get(0).ready.keySet(), Set.of(request.id()));
	}

	@Test
	public void testStoppingWriterDeclinesAndAppendsWhatItHas() {
		ClaimFleet fleet = ready(3);
		fleet.writers(List.of(fleet.nodes.get(2).vm));
		Request before = fleet.nodes.get(0).begin("k0", "f");
		fleet.deliverAll();
		fleet.nodes.get(2).stop();
		Request after = fleet.nodes.get(1).begin("k1", "f");
		fleet.deliverAll();
		fleet.landAll(Result.APPENDED, true);
		fleet.nodes.forEach((node) -> node.read(100));
		assertEquals(fleet.nodes.get(0).ready.keySet(), Set.of(before.id()));
		assertEquals(fleet.nodes.get(1).ready.keySet(), Set.of(after.id()));
		assertEquals(fleet.nodes.get(0).claims.appends(), 0);
		assertEquals(fleet.nodes.get(1).claims.appends(), 1);
	}

	@Test
	public void testClaimThatItsWriterAppendsAfterItsRefusalIsReleased() {
		ClaimFleet fleet = ready(3);
		fleet.writers(List.of(fleet.nodes.get(2).vm));
		Request late = fleet.nodes.get(0).begin("k", "f");
		fleet.deliverAll();
		fleet.pass(ClaimFleet.SETTINGS.patienceMillis());
		assertRefused(fleet, late, RefusalReason.LOG_UNAVAILABLE, Outcome.NOT_RUN);
		fleet.heal(3);
		assertTrue(fleet.nodes.get(0).ready.isEmpty());
		Request second = fleet.nodes.get(1).begin("k", "f");
		fleet.heal(2);
		assertEquals(fleet.nodes.get(1).ready.keySet(), Set.of(second.id()));
	}

	private static Request running(ClaimFleet fleet) {
		Request first = fleet.nodes.get(0).begin("k", "f");
		fleet.heal(1);
		fleet.nodes.get(0).send(first.id());
		return first;
	}

	private static String replayed(ClaimFleet fleet, Request request) {
		return ((Effect.Replay) fleet.ledger.answers.get(request.id())).answer().body();
	}

	private static void assertRefused(ClaimFleet fleet, Request request, RefusalReason reason, Outcome outcome) {
		Refusal refusal = ((Effect.Refuse) fleet.ledger.answers.get(request.id())).refusal();
		assertEquals(refusal.reason(), reason);
		assertEquals(refusal.outcome(), outcome);
	}

	private static ClaimFleet ready(int size) {
		ClaimFleet fleet = new ClaimFleet(size);
		fleet.heal(2);
		fleet.nodes.forEach((node) -> assertTrue(node.claims.complete()));
		return fleet;
	}

	private static void storm(long seed, int steps, int maxStepMillis) {
		Random random = new Random(seed);
		ClaimFleet fleet = ready(2 + random.nextInt(3));
		fleet.nodes.forEach((node) -> fleet.shuffleWriters(node, random));
		for (int step = 0; step < steps; step++) {
			step(fleet, random, maxStepMillis, "k" + step / KEY_STEPS);
		}
		fleet.heal(60);
		settle(fleet);
	}

	static void settle(ClaimFleet fleet) {
		for (ClaimFleet.Node node : fleet.nodes) {
			List.copyOf(node.ready.keySet()).forEach(node::abandon);
			List.copyOf(node.running.keySet()).forEach((id) -> node.end(id, Ending.BROKEN, true));
		}
		fleet.heal(60);
		fleet.ledger.check(ClaimFleet.SETTINGS.windowMillis() - DISPATCH_MILLIS);
		fleet.ledger.checkNoneLost();
		List<Map<ClaimKey, String>> folds = fleet.nodes.stream().map((node) -> fold(fleet, node)).toList();
		folds.forEach((fold) -> assertEquals(fold, folds.get(0)));
		fleet.nodes.forEach((node) -> assertEquals(node.claims.attempts() + node.claims.waiting(), 0));
		fleet.nodes.forEach((node) -> assertEquals(node.claims.backlog(), 0));
	}

	private static Map<ClaimKey, String> fold(ClaimFleet fleet, ClaimFleet.Node node) {
		long window = ClaimFleet.SETTINGS.windowMillis() - ClaimFleet.SETTINGS.graceMillis();
		return node.claims.table()
			.entries()
			.entrySet()
			.stream()
			.filter((entry) -> !entry.getValue().expiredAt(fleet.time, window))
			.collect(Collectors.toMap(Map.Entry::getKey, (entry) -> {
				ClaimRecord statement = entry.getValue().statement();
				return statement.kind() + " " + statement.claimId();
			}));
	}

	private static void step(ClaimFleet fleet, Random random, int maxStepMillis, String key) {
		ClaimFleet.Node node = fleet.nodes.get(random.nextInt(fleet.nodes.size()));
		int lot = random.nextInt(1_000);
		fleet.pass(random.nextInt((random.nextInt(JUMP_STEPS) == 0) ? maxStepMillis : 3));
		if (lot < 10) {
			fleet.log.reachable = lot > 1;
		}
		else if (lot < 250) {
			fleet.landAny(random);
		}
		else if (lot < 350) {
			fleet.deliverAny(random);
		}
		else if (lot < 358) {
			node.restart(random.nextBoolean());
		}
		else if (lot < 362) {
			node.left(fleet.nodes.get(random.nextInt(fleet.nodes.size())).vm);
		}
		else if (lot < 364) {
			fleet.shuffleWriters(node, random);
		}
		else if (lot < 365) {
			node.stop();
		}
		else if (lot < 366) {
			node.lost(fleet.nodes.get(random.nextInt(fleet.nodes.size())).vm);
		}
		else if (node.paused) {
			if (lot < 500) {
				node.resume();
			}
		}
		else {
			act(node, random, lot, key);
		}
	}

	private static void act(ClaimFleet.Node node, Random random, int lot, String key) {
		if (lot < 370) {
			node.pause();
		}
		else if (lot < 470) {
			node.begin(key + random.nextInt(4), "f" + ((random.nextInt(20) == 0) ? 1 : 0));
		}
		else if (lot < 800) {
			node.read(1 + random.nextInt(3));
		}
		else if (lot < 900 && !node.ready.isEmpty()) {
			node.send(any(node.ready, random));
		}
		else if (lot < 980 && !node.running.isEmpty()) {
			Ending ending = Ending.values()[random.nextInt(Ending.values().length)];
			boolean ran = switch (ending) {
				case COMPLETED -> true;
				case NOT_SENT, DECLINED -> false;
				case BROKEN, CANCELLED -> random.nextBoolean();
			};
			node.end(any(node.running, random), ending, ran);
		}
		else if (lot >= 980 && !node.ready.isEmpty()) {
			node.abandon(any(node.ready, random));
		}
	}

	private static RequestId any(Map<RequestId, Request> requests, Random random) {
		return new ArrayList<>(requests.keySet()).get(random.nextInt(requests.size()));
	}

}
