package org.ebonyford.claim;

import java.util.OptionalLong;

import org.ebonyford.claim.ClaimRecord.Kind;
import org.ebonyford.effect.Effect;
import org.ebonyford.effect.Outbox;
import org.ebonyford.identity.RequestId;
import org.ebonyford.request.Outcome;
import org.ebonyford.request.Refusal;
import org.ebonyford.request.RefusalReason;
import org.ebonyford.request.Request;

/**
 * Gives requests that may not be repeated their final answers.
 *
 * @param retryAfterMillis the milliseconds after which callers are told that a retry can
 * help
 */
record FinalAnswers(long retryAfterMillis) {

	/**
	 * Answers a repeat by the final statement about its key.
	 * @param request the repeat
	 * @param known the statement
	 * @param outbox takes the answer
	 */
	void conclude(Request request, ClaimRecord known, Outbox outbox) {
		if (!known.fingerprint().equals(request.fingerprint())) {
			refuseForGood(request.id(), RefusalReason.KEY_MISMATCH, Outcome.NOT_RUN, outbox);
		}
		else if (known.kind() == Kind.UNKNOWN) {
			refuseForGood(request.id(), RefusalReason.KEY_UNKNOWN, Outcome.UNKNOWN, outbox);
		}
		else if (known.answer().isEmpty()) {
			refuseForGood(request.id(), RefusalReason.ANSWER_NOT_KEPT, Outcome.RAN, outbox);
		}
		else {
			outbox.add(new Effect.Replay(request.id(), known.answer().get()));
		}
	}

	/**
	 * Refuses a request that a retry can help.
	 * @param request the request
	 * @param reason why it is refused
	 * @param outcome whether it ran
	 * @param outbox takes the answer
	 */
	void refuse(RequestId request, RefusalReason reason, Outcome outcome, Outbox outbox) {
		outbox.add(new Effect.Refuse(request, new Refusal(reason, outcome, OptionalLong.of(this.retryAfterMillis))));
	}

	/**
	 * Refuses a request that no retry can help.
	 * @param request the request
	 * @param reason why it is refused
	 * @param outcome whether it ran
	 * @param outbox takes the answer
	 */
	void refuseForGood(RequestId request, RefusalReason reason, Outcome outcome, Outbox outbox) {
		outbox.add(new Effect.Refuse(request, new Refusal(reason, outcome, OptionalLong.empty())));
	}

}
