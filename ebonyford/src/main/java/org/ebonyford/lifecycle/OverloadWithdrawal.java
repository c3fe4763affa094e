package org.ebonyford.lifecycle;

/**
 * Withdraws a hotspot router's readiness for a while, so that the balancer gives its
 * callers to another router. It is needed when all callers of an organisation come to the
 * same small VM. Only a router whose demand is several times the mean does so: where all
 * routers lag, none is better placed, and only a part of the routers can exceed the mean
 * by so much at any time.
 */
public final class OverloadWithdrawal {

	/**
	 * The minimum ratio of a hotspot's demand to the mean of all routers: fewer than a
	 * third of the routers can reach it.
	 */
	private static final double MIN_DEMAND_RATIO = 3;

	/**
	 * The minimum number of live routers of the data centre that can take over the
	 * callers.
	 */
	private static final int MIN_LOCAL_PEERS = 3;

	/**
	 * The excess of lagging time over time without lag, in milliseconds, from which the
	 * router is overloaded: several times the longest pause of a healthy process.
	 */
	private static final long OVERLOADED_MILLIS = 500;

	/**
	 * The maximum of that excess in milliseconds, so that a router recovers soon after.
	 */
	private static final long MAX_LAGGING_MILLIS = 2_000;

	/**
	 * The duration of a withdrawal in milliseconds: a balancer takes some seconds to
	 * notice, and a router that returns at once lags again.
	 */
	private static final long WITHDRAWAL_MILLIS = 10_000;

	/**
	 * The minimum time in milliseconds between two withdrawals, which keeps a router
	 * ready for part of the time.
	 */
	private static final long MIN_READY_MILLIS = 3_000;

	/**
	 * The excess of lagging time over time without lag, in milliseconds.
	 */
	private long laggingMillis;

	/**
	 * The time of the last update in milliseconds, negative before the first.
	 */
	private long updatedAt = -1;

	/**
	 * The end of the latest withdrawal in milliseconds.
	 */
	private long withdrawnUntil = Long.MIN_VALUE / 2;

	/**
	 * Starts a withdrawal if the router is an overloaded hotspot. It is called several
	 * times a second.
	 * @param view the router's load
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
	 * Returns whether the router's readiness is withdrawn.
	 * @param now the time in milliseconds
	 * @return {@code true} during a withdrawal
	 */
	public boolean withdrawn(long now) {
		return now < this.withdrawnUntil;
	}

	/**
	 * Returns whether other routers are better placed for tasks on which all routers
	 * depend.
	 * @param now the time in milliseconds
	 * @return {@code true} while the router has lagged for a while, or is withdrawn
	 */
	public boolean overloaded(long now) {
		return withdrawn(now) || this.laggingMillis >= OVERLOADED_MILLIS / 2;
	}

	/**
	 * The load of a router.
	 *
	 * @param lagging whether it reads its callers' requests late
	 * @param demandRatio the ratio of its demand to the mean of all routers
	 * @param localPeers the number of other live routers of its data centre
	 */
	public record View(boolean lagging, double demandRatio, int localPeers) {
	}

}
