package org.ebonyford.placement;

/**
 * Remembers whether requests that are not their organisation's turn lately found a calm
 * engine. It answers the load of far more requests than can be served, each of which
 * would be placed only to be refused: a look at the engines costs most of a refusal, and
 * on a small VM that is what makes it fall behind its callers.
 */
public final class CalmWatch {

	/**
	 * The time in milliseconds after which the engines are looked at again: a calm one is
	 * found within a part of the shortest latency targets.
	 */
	private static final long LOOK_MILLIS = 50;

	/**
	 * When the engines were last looked at, in milliseconds.
	 */
	private long lookedAt = -LOOK_MILLIS;

	/**
	 * Whether one was calm then.
	 */
	private boolean calm;

	/**
	 * Returns whether a request that is not its organisation's turn may find a calm
	 * engine.
	 * @param now the time in milliseconds
	 * @return {@code false} if there was none a moment ago
	 */
	public boolean worthLooking(long now) {
		return this.calm || now - this.lookedAt >= LOOK_MILLIS;
	}

	/**
	 * Notes what a request found.
	 * @param taken whether it was taken
	 * @param now the time in milliseconds
	 */
	public void looked(boolean taken, long now) {
		this.calm = taken;
		this.lookedAt = now;
	}

}
