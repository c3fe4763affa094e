package org.ebonyford.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.ebonyford.effect.Effect;
import org.ebonyford.identity.RequestId;
import org.ebonyford.request.Outcome;
import org.ebonyford.request.RefusalReason;
import org.ebonyford.request.Request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * The naive version: one perfect ledger that knows every run and every answer.
 */
final class Ledger {

	final Map<RequestId, Request> requests = new HashMap<>();

	final Map<RequestId, Effect> answers = new HashMap<>();

	final Map<ClaimKey, List<Run>> runs = new HashMap<>();

	final Map<RefusalReason, Integer> refusals = new HashMap<>();

	int replays;

	void begin(Request request) {
		this.requests.put(request.id(), request);
	}

	void run(long time, Request request) {
		this.runs.computeIfAbsent(key(request), (key) -> new ArrayList<>()).add(new Run(time, request));
	}

	void answer(RequestId request, Effect effect) {
		if (this.requests.containsKey(request) && this.answers.putIfAbsent(request, effect) == null) {
			if (effect instanceof Effect.Refuse refuse) {
				this.refusals.merge(refuse.refusal().reason(), 1, Integer::sum);
			}
			this.replays += (effect instanceof Effect.Replay) ? 1 : 0;
		}
	}

	void check(long windowMillis) {
		this.runs.values().forEach((list) -> checkRuns(list, windowMillis));
		this.answers.forEach((id, effect) -> checkAnswer(this.requests.get(id), effect));
	}

	private static void checkRuns(List<Run> list, long windowMillis) {
		for (int index = 1; index < list.size(); index++) {
			assertTrue(list.get(index).time() - list.get(index - 1).time() > windowMillis, "ran twice: " + list);
		}
	}

	private void checkAnswer(Request request, Effect effect) {
		List<Run> list = this.runs.getOrDefault(key(request), List.of());
		boolean ran = list.stream().anyMatch((run) -> run.request().fingerprint().equals(request.fingerprint()));
		if (effect instanceof Effect.Replay replay) {
			assertTrue(list.stream().anyMatch((run) -> run.request().id().value().equals(replay.answer().body())));
			assertTrue(ran, "replayed another request's answer: " + request);
		}
		else if (effect instanceof Effect.Refuse refuse && refuse.refusal().outcome() == Outcome.NOT_RUN) {
			assertFalse(list.stream().anyMatch((run) -> run.request().id().equals(request.id())),
					"refused as not run but ran: " + request + refuse);
		}
		else if (effect instanceof Effect.Refuse refuse && refuse.refusal().outcome() == Outcome.RAN) {
			assertTrue(ran, "said to have run: " + request);
		}
	}

	void checkNoneLost() {
		assertEquals(this.answers.keySet(), this.requests.keySet());
	}

	static ClaimKey key(Request request) {
		return new ClaimKey(request.organisation(), request.key().orElseThrow());
	}

	record Run(long time, Request request) {

	}

}
