package org.ebonyford.emulator.upstream;

import java.util.ArrayList;
import java.util.List;

import org.ebonyford.emulator.fault.Fault;
import org.ebonyford.emulator.http.BodyStream;

/**
 * A completion that an engine generates token by token.
 */
final class Completion {

	/**
	 * The call that asked for it.
	 */
	private final Call call;

	/**
	 * The number of the run in the ledger.
	 */
	private final int run;

	/**
	 * The prompt.
	 */
	private final String prompt;

	/**
	 * The length of the completion in tokens.
	 */
	private final int tokens;

	/**
	 * Whether the answer is streamed.
	 */
	private final boolean streamed;

	/**
	 * Whether the request crashes the engine.
	 */
	private final boolean crashing;

	/**
	 * The answers that are written while the completion is generated.
	 */
	private final List<BodyStream> streams = new ArrayList<>();

	/**
	 * The tokens that were generated so far.
	 */
	private int generated;

	/**
	 * The steps to leave out before the next token.
	 */
	private long stalledSteps;

	/**
	 * Creates a completion of which nothing is generated yet.
	 * @param call the call that asked for it
	 * @param run the number of the run in the ledger
	 * @param prompt the prompt
	 * @param tokens the length of the completion in tokens
	 * @param streamed whether the answer is streamed
	 */
	Completion(Call call, int run, String prompt, int tokens, boolean streamed) {
		this.call = call;
		this.run = run;
		this.prompt = prompt;
		this.tokens = tokens;
		this.streamed = streamed;
		this.crashing = prompt.contains(UpstreamStandIn.CRASH_MARKER);
	}

	/**
	 * Generates the next token.
	 * @param stallSteps the steps that a stall takes
	 * @return {@code false} if the completion stands still in this step
	 */
	boolean step(long stallSteps) {
		if (this.stalledSteps > 0) {
			this.stalledSteps--;
			return false;
		}
		this.generated++;
		boolean half = this.generated == halfway();
		if (half && this.call.struckBy(Fault.Kind.STALL)) {
			this.stalledSteps = stallSteps;
		}
		write(this.generated - 1);
		if (half && this.call.struckBy(Fault.Kind.RESET)) {
			this.streams.forEach(BodyStream::breakOff);
			this.streams.clear();
		}
		if (half && this.call.struckBy(Fault.Kind.TRUNCATED)) {
			this.streams.forEach(BodyStream::finish);
			this.streams.clear();
		}
		return true;
	}

	/**
	 * Writes the events that follow the last token and ends the answers.
	 */
	void finishStreams() {
		if (this.call.struckBy(Fault.Kind.LOST)) {
			this.streams.forEach(BodyStream::breakOff);
			this.streams.clear();
			return;
		}
		write(this.tokens);
		write(this.tokens + 1);
		this.streams.forEach(BodyStream::finish);
		this.streams.clear();
	}

	/**
	 * Breaks all answers.
	 */
	void breakOff() {
		this.streams.forEach(BodyStream::breakOff);
		this.streams.clear();
		if (!this.streamed && !done()) {
			this.call.exchange().breakOff();
		}
	}

	/**
	 * Adds an answer that gets the events after a given one.
	 * @param stream the answer
	 * @param after the number of the last event that it is not to get, -1 for none
	 */
	void follow(BodyStream stream, int after) {
		int end = done() ? this.tokens + 1 : this.generated - 1;
		for (int index = after + 1; index <= end; index++) {
			stream.write(event(index));
		}
		if (done()) {
			stream.finish();
			return;
		}
		this.streams.add(stream);
	}

	/**
	 * Returns the call that asked for the completion.
	 * @return the call
	 */
	Call call() {
		return this.call;
	}

	/**
	 * Returns the number of the run in the ledger.
	 * @return the number
	 */
	int run() {
		return this.run;
	}

	/**
	 * Returns the prompt.
	 * @return the prompt
	 */
	String prompt() {
		return this.prompt;
	}

	/**
	 * Returns the length of the completion.
	 * @return the tokens
	 */
	int tokens() {
		return this.tokens;
	}

	/**
	 * Returns whether the answer is streamed.
	 * @return {@code true} for server-sent events
	 */
	boolean streamed() {
		return this.streamed;
	}

	/**
	 * Returns whether the request crashes the engine.
	 * @return {@code true} if it is marked
	 */
	boolean crashing() {
		return this.crashing;
	}

	/**
	 * Returns whether all tokens were generated.
	 * @return {@code true} at the end
	 */
	boolean done() {
		return this.generated >= this.tokens;
	}

	private byte[] event(int index) {
		return Answers.event(this.call.shownId(), this.call.shownText(this.prompt), this.tokens, index);
	}

	private int halfway() {
		return Math.max(1, this.tokens / 2);
	}

	private void write(int index) {
		if (this.streams.isEmpty()) {
			return;
		}
		byte[] event = event(index);
		this.streams.forEach((stream) -> stream.write(event));
	}

}
