package org.ebonyford.lifecycle;

import java.util.Objects;

import org.ebonyford.effect.Effect;
import org.ebonyford.effect.Outbox;
import org.ebonyford.log.LogEvent;

/**
 * Follows a router from its start to its planned stop.
 */
public final class Lifecycle {

	/**
	 * The reason of a router that takes requests.
	 */
	private static final String NO_REASON = "";

	/**
	 * The milliseconds in which the platform's balancer notices that a router is not
	 * ready.
	 */
	private final long noticeMillis;

	/**
	 * Why the router takes no requests, empty if it does, {@code null} before the first
	 * judgement.
	 */
	private String reason;

	/**
	 * Whether a stop was requested.
	 */
	private boolean stopping;

	/**
	 * The clock reading from which new requests are refused.
	 */
	private long refusingFrom = Long.MAX_VALUE;

	/**
	 * Whether the process was told to end.
	 */
	private boolean exited;

	/**
	 * Creates the life of a process that takes no requests yet.
	 * @param noticeMillis the milliseconds in which the platform's balancer notices that
	 * a router is not ready
	 */
	public Lifecycle(long noticeMillis) {
		this.noticeMillis = noticeMillis;
	}

	/**
	 * Judges whether the router takes requests.
	 * @param obstacle why it cannot take any, empty if nothing is in the way
	 * @param outbox takes the effects of a change
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
	 * @param now the clock reading in milliseconds
	 * @param outbox takes the effects
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
	 * Ends the process once the balancer had its notice and nothing is left to do.
	 * @param now the clock reading in milliseconds
	 * @param idle whether nothing is left to do
	 * @param outbox takes the effects
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
	 * Returns whether new requests are refused since the router stops.
	 * @param now the clock reading in milliseconds
	 * @return {@code true} once the balancer had its notice
	 */
	public boolean refusesRequests(long now) {
		return now >= this.refusingFrom;
	}

	/**
	 * Returns whether the router takes requests.
	 * @return {@code true} if nothing is in the way
	 */
	public boolean ready() {
		return NO_REASON.equals(this.reason);
	}

	/**
	 * Returns why the router takes no requests.
	 * @return the reason, empty if it takes requests
	 */
	public String reason() {
		return Objects.requireNonNullElse(this.reason, "the router is starting");
	}

}
