package org.ebonyford.emulator.fault;

import java.nio.charset.StandardCharsets;
import java.util.Objects;

/**
 * One way in which calls go wrong.
 *
 * @param kind what goes wrong
 * @param operation the operation that it strikes, with all operations whose names go on
 * after a slash, or empty for every one
 * @param calls how many calls it strikes, or 0 for every call until it is removed
 * @param millis the milliseconds by which a call is delayed, where the kind delays
 * @param text what the body of a call has to contain to be struck, or empty for every
 * body
 */
public record Fault(Kind kind, String operation, int calls, long millis, String text) {

	/**
	 * Creates a fault.
	 * @throws NullPointerException if the kind is {@code null}
	 */
	public Fault {
		Objects.requireNonNull(kind, "kind");
		operation = (operation != null) ? operation : "";
		text = (text != null) ? text : "";
	}

	/**
	 * Creates a fault that strikes every call until it is removed.
	 * @param kind what goes wrong
	 * @return the fault
	 */
	public static Fault of(Kind kind) {
		return new Fault(kind, "", 0, 0, "");
	}

	/**
	 * Returns a copy that strikes a number of calls.
	 * @param calls how many calls
	 * @return the copy
	 */
	public Fault forCalls(int calls) {
		return new Fault(this.kind, this.operation, calls, this.millis, this.text);
	}

	/**
	 * Returns a copy that strikes one operation only.
	 * @param operation the name of the operation
	 * @return the copy
	 */
	public Fault on(String operation) {
		return new Fault(this.kind, operation, this.calls, this.millis, this.text);
	}

	/**
	 * Returns a copy that delays by another time.
	 * @param millis the milliseconds
	 * @return the copy
	 */
	public Fault delayedBy(long millis) {
		return new Fault(this.kind, this.operation, this.calls, millis, this.text);
	}

	/**
	 * Returns a copy that strikes only calls whose body contains a text.
	 * @param text the text
	 * @return the copy
	 */
	public Fault containing(String text) {
		return new Fault(this.kind, this.operation, this.calls, this.millis, text);
	}

	/**
	 * Returns whether the fault strikes a call.
	 * @param called the operation of the call
	 * @param body the body of the call
	 * @return {@code true} if the fault names the operation, what stands before a slash
	 * of it, or none at all, and the body contains what it has to
	 */
	boolean strikes(String called, byte[] body) {
		boolean named = this.operation.isEmpty() || (called + "/").startsWith(this.operation + "/");
		return named && (this.text.isEmpty() || new String(body, StandardCharsets.UTF_8).contains(this.text));
	}

	/**
	 * What goes wrong.
	 */
	public enum Kind {

		/** The call is turned away and has no effect. */
		OUTAGE,

		/** The connection breaks before the call has an effect. */
		UNREACHABLE,

		/** The call takes effect and its connection breaks in place of the answer. */
		LOST,

		/** The call is delayed before it takes effect. */
		SLOW,

		/** The answer is held back after the call took effect. */
		LATE,

		/** The call waits before it takes effect, until the faults are switched off. */
		HELD,

		/**
		 * The answer waits after the call took effect, until the faults are switched off.
		 */
		HELD_ANSWER,

		/** The upstream says that it did not run the request. */
		DECLINE,

		/** The answer ends early. */
		TRUNCATED,

		/** The answer belongs to another request. */
		CROSSED,

		/** The connection breaks in the midst of the answer. */
		RESET,

		/** The answer stands still for a while in its midst. */
		STALL

	}

}
