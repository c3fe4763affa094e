package org.ebonyford.emulator.upstream;

import java.util.Optional;

import org.ebonyford.emulator.fault.Fault;
import org.ebonyford.emulator.http.Exchange;

/**
 * A request that arrived at an upstream.
 *
 * @param exchange the exchange that takes the answer
 * @param body the body of the request
 * @param requestId the name of the request, empty if it came without
 * @param key the idempotency key of the request, empty if it came without
 * @param organisation the organisation that the request was marked with, empty if it came
 * without
 * @param fault the fault that strikes the request
 */
record Call(Exchange exchange, byte[] body, String requestId, String key, String organisation, Optional<Fault> fault) {

	/**
	 * Tells whether a fault of some kind strikes the request.
	 * @param kind the kind
	 * @return {@code true} if it does
	 */
	boolean struckBy(Fault.Kind kind) {
		return this.fault.filter((struck) -> struck.kind() == kind).isPresent();
	}

	/**
	 * Returns a copy that no fault strikes.
	 * @return the copy
	 */
	Call withoutFault() {
		return new Call(this.exchange, this.body, this.requestId, this.key, this.organisation, Optional.empty());
	}

	/**
	 * Returns the delay that a fault brings.
	 * @return the milliseconds, 0 without a fault
	 */
	long delay() {
		return this.fault.map(Fault::millis).orElse(0L);
	}

	/**
	 * Returns the name of the request that the answer says it belongs to.
	 * @return the name of the request, or of another one where a fault crosses answers
	 */
	String shownId() {
		return struckBy(Fault.Kind.CROSSED) ? "crossed-" + this.requestId : this.requestId;
	}

	/**
	 * Returns the text that the answer is about.
	 * @param text the text of the request
	 * @return the text, or another one where a fault crosses answers
	 */
	String shownText(String text) {
		return struckBy(Fault.Kind.CROSSED) ? text + "/crossed" : text;
	}

}
