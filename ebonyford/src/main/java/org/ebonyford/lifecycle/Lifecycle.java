package org.ebonyford.lifecycle;

import java.util.Objects;

import org.ebonyford.effect.Effect;
import org.ebonyford.effect.Outbox;
import org.ebonyford.log.LogEvent;

/**
 * Tracks a router from its start to its planned stop, and reports each change of its
 * readiness.
 */
public final class Lifecycle {

	/**
	 * The reason of a router that accepts requests.
	 */
	private static final String NO_REASON = "";

	/**
	 * The time in milliseconds that the platform's balancer needs to notice that a router
	 * is not ready.
	 */
	private final long noticeMillis;

	/**
	 * Why the router is not ready, empty if it is, {@code null} before the first
	 * decision.
	 */
	private String reason;

	/**
	 * Whether a stop was requested.
	 */
	private boolean stopping;

	/**
	 * The time in milliseconds from which new requests are refused.
	 */
	private long refusingFrom = Long.MAX_VALUE;

	/**
	 * Whether the process was instructed to exit.
	 */
	private boolean exited;

	/**
	 * Creates the lifecycle of a process that is not ready yet.
	 * @param noticeMillis the time in milliseconds that the platform's balancer needs to
	 * notice that a router is not ready
	 */
	public Lifecycle(long noticeMillis) {
		this.noticeMillis = noticeMillis;
	}

	/**
	 * Updates whether the router accepts requests, and emits effects if that changes.
	 * @param obstacle why it cannot accept any, empty if it can
	 * @param outbox receives the effects of a change
	 */
	public void updateReadiness(String obstacle, Outbox outbox) {
		String newReason = this.stopping ? "the router is stopping" : obstacle;
		if (Objects.equals(newReason, this.reason)) {
			return;
		}
		this.reason = newReason;
		outbox.add(new Effect.Readiness(newReason.isEmpty(), newReason));
		outbox.add(new Effect.Note(newReason.isEmpty() ? LogEvent.READY : LogEvent.NOT_READY, newReason));
	}

	/**
	 * Starts a planned stop.
	 * @param now the time in milliseconds
	 * @param outbox receives the effects
	 */
	public void stop(long now, Outbox outbox) {
		if (this.stopping) {
			return;
		}
		this.stopping = true;
		this.refusingFrom = now + this.noticeMillis;
		outbox.add(new Effect.Note(LogEvent.STOPPING, NO_REASON));
		updateReadiness(NO_REASON, outbox);
	}

	/**
	 * Ends the process once the balancer has noticed the stop and no work is left.
	 * @param now the time in milliseconds
	 * @param idle whether no work is left
	 * @param outbox receives the effects
	 */
	public void tick(long now, boolean idle, Outbox outbox) {
		if (refusesRequests(now) && idle && !this.exited) {
			this.exited = true;
			outbox.add(new Effect.Note(LogEvent.STOPPED, NO_REASON));
			outbox.add(new Effect.Exit());
		}
	}

	/**
	 * Returns whether a stop was requested.
	 * @return {@code true} after the request
	 */
	public boolean stopping() {
		return this.stopping;
	}

	/**
	 * Returns whether new requests are refused because the router stops.
	 * @param now the time in milliseconds
	 * @return {@code true} once the balancer has had time to notice the stop
	 */
	public boolean refusesRequests(long now) {
		return now >= this.refusingFrom;
	}

	/**
	 * Returns whether the router accepts requests.
	 * @return {@code true} if it is ready
	 */
	public boolean ready() {
		return NO_REASON.equals(this.reason);
	}

	/**
	 * Returns why the router is not ready.
	 * @return the reason, empty if it is ready
	 */
	public String reason() {
		return Objects.requireNonNullElse(this.reason, "the router is starting");
	}

}
