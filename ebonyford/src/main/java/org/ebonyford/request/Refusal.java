package org.ebonyford.request;

import java.util.Objects;
import java.util.OptionalLong;

/**
 * The final answer to a request that gets no answer of an upstream.
 *
 * @param reason why the request is refused
 * @param outcome whether the request ran
 * @param retryAfter the milliseconds after which a retry can help, or empty if none can
 */
public record Refusal(RefusalReason reason, Outcome outcome, OptionalLong retryAfter) {

	/**
	 * Creates a refusal.
	 * @throws NullPointerException if an argument is {@code null}
	 */
	public Refusal {
		Objects.requireNonNull(reason, "reason");
		Objects.requireNonNull(outcome, "outcome");
		Objects.requireNonNull(retryAfter, "retryAfter");
	}

}
