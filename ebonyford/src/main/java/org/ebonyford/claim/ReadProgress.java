package org.ebonyford.claim;

import org.ebonyford.event.Event;

/**
 * How far the claims stream was read, and whether that is the whole window.
 */
final class ReadProgress {

	/**
	 * The milliseconds since the log was last read to its end, beyond which nothing is
	 * restated, since it may have been overtaken.
	 */
	private static final long CAUGHT_UP_MILLIS = 5_000;

	/**
	 * The settings.
	 */
	private final ClaimSettings settings;

	/**
	 * The offset in the log up to which all was read, or -1 before the first read.
	 */
	private long position = -1;

	/**
	 * The offset in the log up to which all must be read for the window to be complete.
	 */
	private long target;

	/**
	 * The clock reading in milliseconds before which the window is not complete.
	 */
	private long settledAt;

	/**
	 * The clock reading in milliseconds at which the log was last read to its end.
	 */
	private long caughtUpAt;

	/**
	 * Whether the whole window was read.
	 */
	private boolean complete;

	/**
	 * Whether the log could be read when it was last tried.
	 */
	private boolean reachable;

	/**
	 * Creates the progress of a reader that has read nothing.
	 * @param settings the settings
	 */
	ReadProgress(ClaimSettings settings) {
		this.settings = settings;
	}

	/**
	 * Takes note of what was read, before its statements are applied.
	 * @param event what was read
	 * @return whether statements were removed from the log before they were read
	 */
	boolean begin(Event.ClaimsRead event) {
		this.reachable = true;
		if (event.first() > Math.max(0, this.position)) {
			this.complete = false;
			this.target = event.end();
			this.settledAt = event.at() + this.settings.settleMillis();
			return true;
		}
		if (this.position < 0) {
			this.target = event.end();
			this.settledAt = event.at();
		}
		return false;
	}

	/**
	 * Takes note of what was read, after its statements were applied.
	 * @param event what was read
	 */
	void finish(Event.ClaimsRead event) {
		this.position = Math.max(this.position, event.next());
		this.caughtUpAt = (event.next() >= event.end()) ? event.at() : this.caughtUpAt;
		judge(event.at());
	}

	/**
	 * Takes note of the time, with which the window may become complete.
	 * @param now the clock reading in milliseconds
	 */
	void judge(long now) {
		this.complete = this.complete || (this.position >= 0 && this.position >= this.target && now >= this.settledAt);
	}

	/**
	 * Takes note that the log could not be read.
	 */
	void unreachable() {
		this.reachable = false;
	}

	/**
	 * Returns whether the log could be read when it was last tried.
	 * @return {@code true} if it could
	 */
	boolean reachable() {
		return this.reachable;
	}

	/**
	 * Returns whether the whole window was read.
	 * @return {@code true} if it was
	 */
	boolean complete() {
		return this.complete;
	}

	/**
	 * Returns whether the whole window was read and little can be new in the log.
	 * @param now the clock reading in milliseconds
	 * @return {@code true} if the log was read to its end lately
	 */
	boolean caughtUp(long now) {
		return this.complete && now <= this.caughtUpAt + CAUGHT_UP_MILLIS;
	}

}
