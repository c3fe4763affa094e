package org.ebonyford.router.caller;

import java.util.List;
import java.util.concurrent.atomic.AtomicReference;

import org.ebonyford.configuration.Pool;
import org.ebonyford.request.Request;

/**
 * A request that has arrived whole and has not got its whole answer.
 */
public final class PendingRequest {

	/**
	 * The facts about the request.
	 */
	private final Request request;

	/**
	 * What is sent to an upstream.
	 */
	private final Content content;

	/**
	 * The answer to the caller.
	 */
	private final Answer answer;

	/**
	 * Takes the times of the request.
	 */
	private final CallerMetrics.Timing timing;

	/**
	 * Is run if the caller leaves.
	 */
	private final AtomicReference<Runnable> departure = new AtomicReference<>(() -> {
	});

	/**
	 * Creates a pending request.
	 * @param request the facts about the request
	 * @param content what is sent to an upstream
	 * @param answer the answer to the caller
	 * @param timing takes the times of the request
	 */
	public PendingRequest(Request request, Content content, Answer answer, CallerMetrics.Timing timing) {
		this.request = request;
		this.content = content;
		this.answer = answer;
		this.timing = timing;
	}

	/**
	 * Returns the facts about the request.
	 * @return the facts that decisions are made on
	 */
	public Request request() {
		return this.request;
	}

	/**
	 * Returns what is sent to an upstream.
	 * @return the content, which stays the same for every attempt
	 */
	public Content content() {
		return this.content;
	}

	/**
	 * Returns the answer to the caller.
	 * @return the answer
	 */
	public Answer answer() {
		return this.answer;
	}

	/**
	 * Returns what takes the times of the request.
	 * @return the times
	 */
	public CallerMetrics.Timing timing() {
		return this.timing;
	}

	/**
	 * Sets what is run if the caller leaves.
	 * @param action the action, which replaces an earlier one
	 */
	public void onDeparture(Runnable action) {
		this.departure.set(action);
	}

	/**
	 * Runs what is to be run when the caller has left.
	 */
	void depart() {
		this.departure.get().run();
	}

	/**
	 * What is sent to an upstream.
	 *
	 * @param kind the kind of the upstream's pool
	 * @param method the HTTP method
	 * @param target the path and query
	 * @param headers the headers that are passed on
	 * @param body the body
	 * @param stream whether the caller asked an engine for server-sent events
	 */
	public record Content(Pool.Kind kind, String method, String target, List<HeaderField> headers, byte[] body,
			boolean stream) {

		/**
		 * Creates a content.
		 */
		public Content {
			headers = List.copyOf(headers);
		}

	}

}
