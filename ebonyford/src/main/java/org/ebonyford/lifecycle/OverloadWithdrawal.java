package org.ebonyford.lifecycle;

/**
 * Decides when a router that cannot keep up with a crowd of callers lets the balancer
 * give that to another one for a while. It answers the load of an organisation whose
 * callers all come to the same small VM. Only a router that is asked for several times
 * the mean does so: where all are behind, none is better placed, and at any time only a
 * part of the routers can be asked for so much more than the others.
 */
public final class OverloadWithdrawal {

	/**
	 * How many times the mean a router is asked for that is crowded: fewer than a third
	 * of the routers can be.
	 */
	private static final double MIN_DEMAND_RATIO = 3;

	/**
	 * The least number of routers of the data centre that are to be there for a crowd.
	 */
	private static final int MIN_LOCAL_PEERS = 3;

	/**
	 * By how much longer a router was behind than not, in milliseconds, from which it
	 * cannot keep up: several times the longest pause of a sound process.
	 */
	private static final long OVERLOADED_MILLIS = 500;

	/**
	 * The greatest time in milliseconds by which a router counts as having been behind,
	 * so that it recovers soon after.
	 */
	private static final long MAX_LAGGING_MILLIS = 2_000;

	/**
	 * For how long the crowd is given to another router, in milliseconds: a balancer
	 * takes some seconds to notice, and one that comes back at once is read late again.
	 */
	private static final long WITHDRAWAL_MILLIS = 10_000;

	/**
	 * The least time in milliseconds after that until the next one, so that a router is
	 * there for callers most of the time.
	 */
	private static final long MIN_READY_MILLIS = 3_000;

	/**
	 * By how much longer the router was behind than not, in milliseconds.
	 */
	private long laggingMillis;

	/**
	 * When the router was last looked at, in milliseconds, negative before that.
	 */
	private long updatedAt = -1;

	/**
	 * Until when the crowd is given to another router, in milliseconds.
	 */
	private long withdrawnUntil = Long.MIN_VALUE / 2;

	/**
	 * Notes how the router does. It is called several times a second.
	 * @param view how it does
	 * @param now the time in milliseconds
	 */
	public void update(View view, long now) {
		long elapsedMillis = (this.updatedAt < 0) ? 0 : Math.min(now - this.updatedAt, OVERLOADED_MILLIS);
		this.updatedAt = now;
		this.laggingMillis = Math.max(
				Math.min(this.laggingMillis + (view.lagging() ? elapsedMillis : -elapsedMillis), MAX_LAGGING_MILLIS),
				0);
		boolean hotspot = view.demandRatio() >= MIN_DEMAND_RATIO && view.localPeers() >= MIN_LOCAL_PEERS;
		if (hotspot && this.laggingMillis >= OVERLOADED_MILLIS && now >= this.withdrawnUntil + MIN_READY_MILLIS) {
			this.withdrawnUntil = now + WITHDRAWAL_MILLIS;
			this.laggingMillis = 0;
		}
	}

	/**
	 * Returns whether the crowd is given to another router.
	 * @param now the time in milliseconds
	 * @return {@code true} for some seconds
	 */
	public boolean withdrawn(long now) {
		return now < this.withdrawnUntil;
	}

	/**
	 * Returns whether others are better placed for what all routers rely on.
	 * @param now the time in milliseconds
	 * @return {@code true} while the router has been behind for a while, or its crowd is
	 * given to another one
	 */
	public boolean overloaded(long now) {
		return withdrawn(now) || this.laggingMillis >= OVERLOADED_MILLIS / 2;
	}

	/**
	 * How a router does.
	 *
	 * @param lagging whether it reads its callers late
	 * @param demandRatio how many times the mean of all routers it is asked for
	 * @param localPeers the number of other routers of its data centre that live
	 */
	public record View(boolean lagging, double demandRatio, int localPeers) {
	}

}
