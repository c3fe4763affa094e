package org.ebonyford.lifecycle;

/**
 * Decides when a router that cannot keep up with a crowd of callers lets the balancer
 * give that to another one for a while. It answers the load of an organisation whose
 * callers all come to the same small VM. Only a router that is asked for several times
 * the mean does so: where all are behind, none is better placed, and at any time only a
 * part of the routers can be asked for so much more than the others.
 */
public final class Relief {

	/**
	 * How many times the mean a router is asked for that is crowded: fewer than a third
	 * of the routers can be.
	 */
	private static final double CROWDED = 3;

	/**
	 * The least number of routers of the data centre that are to be there for a crowd.
	 */
	private static final int LEAST_NEIGHBOURS = 3;

	/**
	 * By how much longer a router was behind than not, in milliseconds, from which it
	 * cannot keep up: several times the longest pause of a sound process.
	 */
	private static final long LATE_MILLIS = 500;

	/**
	 * The greatest time in milliseconds by which a router counts as having been behind,
	 * so that it recovers soon after.
	 */
	private static final long GREATEST_MILLIS = 2_000;

	/**
	 * For how long the crowd is given to another router, in milliseconds: a balancer
	 * takes some seconds to notice, and one that comes back at once is read late again.
	 */
	private static final long AWAY_MILLIS = 10_000;

	/**
	 * The least time in milliseconds after that until the next one, so that a router is
	 * there for callers most of the time.
	 */
	private static final long THERE_MILLIS = 3_000;

	/**
	 * By how much longer the router was behind than not, in milliseconds.
	 */
	private long lateMillis;

	/**
	 * When the router was last looked at, in milliseconds, negative before that.
	 */
	private long readAt = -1;

	/**
	 * Until when the crowd is given to another router, in milliseconds.
	 */
	private long awayUntil = Long.MIN_VALUE / 2;

	/**
	 * Notes how the router does. It is called several times a second.
	 * @param view how it does
	 * @param now the time in milliseconds
	 */
	public void read(View view, long now) {
		long passed = (this.readAt < 0) ? 0 : Math.min(now - this.readAt, LATE_MILLIS);
		this.readAt = now;
		this.lateMillis = Math.max(Math.min(this.lateMillis + (view.behind() ? passed : -passed), GREATEST_MILLIS), 0);
		boolean crowded = view.crowding() >= CROWDED && view.neighbours() >= LEAST_NEIGHBOURS;
		if (crowded && this.lateMillis >= LATE_MILLIS && now >= this.awayUntil + THERE_MILLIS) {
			this.awayUntil = now + AWAY_MILLIS;
			this.lateMillis = 0;
		}
	}

	/**
	 * Returns whether the crowd is given to another router.
	 * @param now the time in milliseconds
	 * @return {@code true} for some seconds
	 */
	public boolean away(long now) {
		return now < this.awayUntil;
	}

	/**
	 * Returns whether others are better placed for what all routers rely on.
	 * @param now the time in milliseconds
	 * @return {@code true} while the router has been behind for a while, or its crowd is
	 * given to another one
	 */
	public boolean strained(long now) {
		return away(now) || this.lateMillis >= LATE_MILLIS / 2;
	}

	/**
	 * How a router does.
	 *
	 * @param behind whether it reads its callers late
	 * @param crowding how many times the mean of all routers it is asked for
	 * @param neighbours the number of other routers of its data centre that live
	 */
	public record View(boolean behind, double crowding, int neighbours) {
	}

}
