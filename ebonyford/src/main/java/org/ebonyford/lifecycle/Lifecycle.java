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
	private static final String NONE = "";

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
	private long closedFrom = Long.MAX_VALUE;

	/**
	 * Whether the process was told to end.
	 */
	private boolean ended;

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
	public void judge(String obstacle, Outbox outbox) {
		String judged = this.stopping ? "the router is stopping" : obstacle;
		if (Objects.equals(judged, this.reason)) {
			return;
		}
		this.reason = judged;
		outbox.add(new Effect.Readiness(judged.isEmpty(), judged));
		outbox.add(new Effect.Note(judged.isEmpty() ? LogEvent.READY : LogEvent.NOT_READY, judged));
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
		this.closedFrom = now + this.noticeMillis;
		outbox.add(new Effect.Note(LogEvent.STOPPING, NONE));
		judge(NONE, outbox);
	}

	/**
	 * Ends the process once the balancer had its notice and nothing is left to do.
	 * @param now the clock reading in milliseconds
	 * @param idle whether nothing is left to do
	 * @param outbox takes the effects
	 */
	public void tick(long now, boolean idle, Outbox outbox) {
		if (closed(now) && idle && !this.ended) {
			this.ended = true;
			outbox.add(new Effect.Note(LogEvent.STOPPED, NONE));
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
	public boolean closed(long now) {
		return now >= this.closedFrom;
	}

	/**
	 * Returns whether the router takes requests.
	 * @return {@code true} if nothing is in the way
	 */
	public boolean ready() {
		return NONE.equals(this.reason);
	}

	/**
	 * Returns why the router takes no requests.
	 * @return the reason, empty if it takes requests
	 */
	public String reason() {
		return Objects.requireNonNullElse(this.reason, "the router is starting");
	}

}
