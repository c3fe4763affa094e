package org.ebonyford.router.caller;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.OptionalLong;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.ebonyford.identity.RequestId;
import org.ebonyford.request.Outcome;
import org.ebonyford.request.Refusal;
import org.ebonyford.request.RefusalReason;

/**
 * The body of a refusal as RFC 9457 lays it out.
 *
 * @param status the HTTP status code
 * @param reason the name of the reason in lower-case letters and hyphens
 * @param title what is wrong, in a few words
 * @param detail what is wrong, in a sentence
 * @param outcome whether the request ran
 * @param request the name of the request
 * @param retryAfter the milliseconds after which a retry can help, or empty if none can
 */
public record Problem(int status, String reason, String title, String detail, Outcome outcome, RequestId request,
		OptionalLong retryAfter) {

	/**
	 * The media type of a problem.
	 */
	public static final String CONTENT_TYPE = "application/problem+json";

	/**
	 * What the name of a reason is appended to in order to get the type of a problem.
	 */
	private static final String TYPE_PREFIX = "urn:ebonyford:refusal:";

	/**
	 * The number of milliseconds in a second.
	 */
	private static final long SECOND = 1000;

	/**
	 * Writes problems.
	 */
	private static final ObjectMapper MAPPER = new ObjectMapper();

	/**
	 * Returns the problem that tells of a refusal.
	 * @param request the name of the request
	 * @param refusal the refusal
	 * @return the problem
	 */
	public static Problem of(RequestId request, Refusal refusal) {
		RefusalReason reason = refusal.reason();
		String label = reason.name().toLowerCase(Locale.ROOT).replace('_', '-');
		return new Problem(reason.status(), label, title(reason), detail(refusal.outcome()), refusal.outcome(), request,
				refusal.retryAfter());
	}

	/**
	 * Returns the problem that tells of a rejection.
	 * @param request the name of the request
	 * @param rejection why the request is rejected
	 * @param detail what exactly is wrong
	 * @return the problem
	 */
	public static Problem of(RequestId request, Rejection rejection, String detail) {
		boolean transientCause = rejection.status() == RefusalReason.NOT_READY.status();
		OptionalLong retryAfter = transientCause ? OptionalLong.of(SECOND) : OptionalLong.empty();
		return new Problem(rejection.status(), rejection.label(), rejection.title(), detail, Outcome.NOT_RUN, request,
				retryAfter);
	}

	/**
	 * Returns the seconds of the {@code Retry-After} header, rounded up.
	 * @return the seconds, at least 1, or empty if no retry can help
	 */
	public OptionalLong retryAfterSeconds() {
		if (this.retryAfter.isEmpty()) {
			return OptionalLong.empty();
		}
		return OptionalLong.of(Math.max(1, (this.retryAfter.getAsLong() + SECOND - 1) / SECOND));
	}

	/**
	 * Returns the headers of the answer.
	 * @return the headers that tell the request, the outcome and when to retry
	 */
	public List<HeaderField> headers() {
		List<HeaderField> headers = new ArrayList<>();
		headers.add(new HeaderField("Content-Type", CONTENT_TYPE));
		headers.add(new HeaderField("X-Request-Id", this.request.value()));
		headers.add(new HeaderField("X-Outcome", this.outcome.label()));
		retryAfterSeconds().ifPresent((seconds) -> headers.add(new HeaderField("Retry-After", Long.toString(seconds))));
		return headers;
	}

	/**
	 * Returns the problem as JSON.
	 * @return the bytes of the body
	 */
	public byte[] json() {
		ObjectNode node = MAPPER.createObjectNode();
		node.put("type", TYPE_PREFIX + this.reason);
		node.put("title", this.title);
		node.put("status", this.status);
		node.put("detail", this.detail);
		node.put("outcome", this.outcome.label());
		node.put("reason", this.reason);
		node.put("requestId", this.request.value());
		this.retryAfter.ifPresent((millis) -> node.put("retryAfterMs", millis));
		try {
			return MAPPER.writeValueAsBytes(node);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("A tree of plain values can always be written", ex);
		}
	}

	private static String detail(Outcome outcome) {
		return switch (outcome) {
			case NOT_RUN -> "The request did not run and will not run.";
			case RAN -> "The request ran once.";
			case UNKNOWN -> "The request may have run.";
		};
	}

	private static String title(RefusalReason reason) {
		return switch (reason) {
			case NOT_READY -> "The router is not ready";
			case NOT_ENTITLED -> "The plan does not allow this";
			case NO_SUCH_POOL -> "No such pool";
			case QUEUE_FULL -> "The organisation's queue is full";
			case DEADLINE -> "The deadline passed";
			case NO_UPSTREAM -> "No upstream of the pool is in service";
			case UPSTREAM_BROKEN -> "The upstream's answer broke off";
			case LOG_UNAVAILABLE -> "The log service is out of reach";
			case CLAIMS_INCOMPLETE -> "The claims are not read yet";
			case KEY_IN_USE -> "A request with this idempotency key still runs";
			case KEY_MISMATCH -> "The idempotency key came with another request";
			case ANSWER_NOT_KEPT -> "The answer of the request that ran is not kept";
			case KEY_UNKNOWN -> "Whether the request with this idempotency key ran is unknown";
			case SUSPECTED -> "The request is suspected of crashing upstreams";
			case STOPPING -> "The router is stopping";
		};
	}

}
