package org.ebonyford.acceptance;

import java.util.function.Consumer;

import org.ebonyford.emulator.fault.Fault;

/**
 * The steps of a call that may not be repeated, from the append of its claim to the end,
 * in their order. What is on its way at a step stands still until it is released.
 */
enum ClaimStep {

	/** The append of the claim has not taken effect. */
	CLAIM_HELD(Known.NOTHING, (call) -> {
		call.strikeAppend(Fault.Kind.HELD);
		call.send();
		call.awaitHeldAppend();
	}),

	/** The claim is in the log, of which its holder learns nothing. */
	CLAIM_TAKEN(Known.CLAIM, (call) -> {
		CLAIM_HELD.reach(call);
		call.cutFromLog();
		call.releaseLog();
	}),

	/** The answer to the append was lost, the claim was read back, the call was sent. */
	CLAIM_ANSWER_LOST(Known.CLAIM, (call) -> {
		call.strikeAppend(Fault.Kind.LOST);
		call.strikeService(Fault.Kind.HELD);
		call.send();
		call.awaitHeldAtService();
	}),

	/** The claim was read back and the call waits for a slot. */
	WAITING_FOR_SLOT(Known.CLAIM, (call) -> {
		call.toNarrowPool();
		call.fillNarrowPool();
		call.send();
		call.awaitCounted("queued");
	}),

	/** The call was sent and has not come to the upstream. */
	ON_THE_WIRE(Known.CLAIM, (call) -> {
		call.cutFromServices();
		call.send();
		call.awaitCounted("running");
	}),

	/** The call has come to the upstream and does not run yet. */
	AT_UPSTREAM(Known.CLAIM, (call) -> {
		call.strikeService(Fault.Kind.HELD);
		call.send();
		call.awaitHeldAtService();
	}),

	/** The upstream runs the call. */
	RUNNING(Known.CLAIM, (call) -> {
		call.lasting(Limits.RUN_MILLIS);
		call.send();
		call.awaitRunning();
	}),

	/** The call ran and its answer is on the way. */
	ANSWER_HELD(Known.CLAIM, (call) -> {
		call.strikeService(Fault.Kind.HELD_ANSWER);
		call.send();
		call.awaitHeldAtService();
	}),

	/** The router has the answer and the append that tells so has not taken effect. */
	RESULT_HELD(Known.CLAIM, (call) -> {
		ANSWER_HELD.reach(call);
		call.strikeAppend(Fault.Kind.HELD);
		call.releaseServices();
		call.awaitHeldAppend();
	}),

	/** The router has the answer and the log takes no append that tells so. */
	RESULT_REFUSED(Known.CLAIM, (call) -> {
		ANSWER_HELD.reach(call);
		call.strikeAppends(Fault.Kind.OUTAGE);
		call.releaseServices();
		call.answer().join();
	}),

	/** The answer is in the log and its caller has it. */
	DONE(Known.ANSWER, (call) -> {
		ANSWER_HELD.reach(call);
		call.strikeAppend(Fault.Kind.HELD_ANSWER);
		call.releaseServices();
		call.awaitHeldAppend();
		call.answer().join();
	});

	/**
	 * What others can know of the call at this step.
	 */
	private final Known known;

	/**
	 * Sends a call and brings it to this step.
	 */
	private final Consumer<KeyedCall> way;

	ClaimStep(Known known, Consumer<KeyedCall> way) {
		this.known = known;
		this.way = way;
	}

	/**
	 * Sends a call and brings it to this step.
	 * @param call the call
	 */
	void reach(KeyedCall call) {
		this.way.accept(call);
	}

	/**
	 * Returns what others can know of the call at this step.
	 * @return what is in the log
	 */
	Known known() {
		return this.known;
	}

	/**
	 * What the log says of a call.
	 */
	enum Known {

		/** Nothing, so that a repeat runs. */
		NOTHING,

		/** That it was claimed, so that it may have run. */
		CLAIM,

		/** That it ran, and its answer. */
		ANSWER

	}

	/**
	 * The limits of the steps.
	 */
	private static final class Limits {

		/**
		 * The milliseconds that a call lasts which is struck while it runs.
		 */
		private static final long RUN_MILLIS = 3_000;

	}

}
