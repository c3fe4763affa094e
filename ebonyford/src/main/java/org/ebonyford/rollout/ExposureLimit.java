package org.ebonyford.rollout;

/**
 * Limits how many of a gateway's own requests go to the target of a roll-out. Each
 * gateway keeps to a part of its own requests and to an equal part of the slack, so the
 * sum over all gateways stays within the operator's bound without any message between
 * them. The load is one decision for each request sent to the service.
 */
public final class ExposureLimit {

	/**
	 * The part of the allowed share up to which streams are continued at the target. It
	 * leaves a tenth for requests that are counted by no gateway, as their gateway was
	 * killed.
	 */
	private static final double CONTINUED_FRACTION = 0.9;

	/**
	 * The canary requests that are made up for at most. Without a limit a gateway sent
	 * all requests to the target for a while after a pause, and a fault that both
	 * versions shared at that time was held against the target.
	 */
	private static final double MAX_CREDIT = 2;

	/**
	 * The operator's limits.
	 */
	private final RolloutSettings settings;

	/**
	 * The requests sent to the service since the gateway knows the order.
	 */
	private long requests;

	/**
	 * The requests among them that were sent to the target.
	 */
	private long toTarget;

	/**
	 * The part of the canary share that was not used and is not made up for.
	 */
	private double forgone;

	/**
	 * Creates a limit for an order that the gateway has just learned of.
	 * @param settings the operator's limits
	 */
	public ExposureLimit(RolloutSettings settings) {
		this.settings = settings;
	}

	/**
	 * Counts a request that is sent to an upstream of the service. Each attempt counts.
	 * @param target whether the upstream is of the target version
	 */
	public void sent(boolean target) {
		this.requests++;
		if (target) {
			this.toTarget++;
		}
	}

	/**
	 * Returns whether the next request is to go to the target in the canary phase.
	 * @param share the part of requests that goes to the target
	 * @param gateways the number of gateways that may be alive, including this one
	 * @return {@code true} if the request is within the limit
	 */
	public boolean allows(double share, int gateways) {
		double canaryShare = Math.min(share, this.settings.canaryShare());
		double credit = credit(canaryShare, gateways) - this.forgone;
		this.forgone += Math.max(0, credit - MAX_CREDIT - this.settings.dividedSlack() / Math.max(1, gateways));
		return credit >= 1;
	}

	/**
	 * Returns whether a stream may be continued at the target in the canary phase.
	 * @param gateways the number of gateways that may be alive, including this one
	 * @return {@code true} if the request is within the limit
	 */
	public boolean allowsContinued(int gateways) {
		return credit(this.settings.exposureShare() * CONTINUED_FRACTION, gateways) >= 1;
	}

	/**
	 * Returns the requests sent to the service.
	 * @return the number of requests since the gateway knows the order
	 */
	public long requests() {
		return this.requests;
	}

	/**
	 * Returns the requests sent to the target.
	 * @return the number of requests since the gateway knows the order
	 */
	public long toTarget() {
		return this.toTarget;
	}

	private double credit(double share, int gateways) {
		return share * (this.requests + 1) + this.settings.dividedSlack() / Math.max(1, gateways) - this.toTarget;
	}

}
