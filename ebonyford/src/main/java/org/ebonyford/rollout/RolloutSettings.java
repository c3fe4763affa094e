package org.ebonyford.rollout;

/**
 * The limits that the operator sets for roll-outs.
 *
 * @param exposureShare the part of a service's requests that a bad version may get
 * @param exposureSlack the requests that a bad version may get beyond that part
 * @param rollbackMillis the time in milliseconds within which a bad version has to be
 * stopped after its 50th bad answer
 */
public record RolloutSettings(double exposureShare, double exposureSlack, long rollbackMillis) {

	/**
	 * The limits that apply where the operator sets none.
	 */
	public static final RolloutSettings DEFAULT = new RolloutSettings(0.1, 50, 5_000L);

	/**
	 * The part of the allowed share that canary requests use. The rest covers the
	 * requests between the end of the canary phase and the verdict on a version that
	 * turns bad only then, and continued streams.
	 */
	private static final double CANARY_FRACTION = 0.5;

	/**
	 * The part of the allowed slack that gateways divide. The rest covers gateways that
	 * start again and begin with a new allowance.
	 */
	private static final double DIVIDED_SLACK = 0.5;

	/**
	 * The part of the rollback time for which a gateway uses its last view of the store.
	 * The rest covers the verdict, its way into the store and requests being sent.
	 */
	private static final double VIEW_FRACTION = 0.5;

	/**
	 * How long a gateway that has lost the store keeps sending to the other versions
	 * while requests move to the target, in milliseconds. Gateways that have had no path
	 * to the store for 4 s are out of the operator's bounds; one second more covers the
	 * age of the view.
	 */
	private static final long OTHERS_VIEW_LIMIT_MILLIS = 5_000L;

	/**
	 * Creates settings.
	 * @throws IllegalArgumentException if a limit is out of its range
	 */
	public RolloutSettings {
		if (!(exposureShare > 0 && exposureShare <= 1) || !(exposureSlack >= 0) || rollbackMillis <= 0) {
			throw new IllegalArgumentException("The limits of roll-outs are out of range: " + exposureShare + ", "
					+ exposureSlack + ", " + rollbackMillis);
		}
	}

	/**
	 * Returns the part of requests that goes to the target until it is judged.
	 * @return the part, from 0 to 1
	 */
	public double canaryShare() {
		return this.exposureShare * CANARY_FRACTION;
	}

	/**
	 * Returns the requests that all gateways together may send to the target beyond the
	 * canary share.
	 * @return the number of requests
	 */
	public double dividedSlack() {
		return this.exposureSlack * DIVIDED_SLACK;
	}

	/**
	 * Returns the age of the view of the store from which on nothing is sent to a target
	 * that may have been rolled back.
	 * @return the age in milliseconds
	 */
	public long targetViewLimitMillis() {
		return (long) (this.rollbackMillis * VIEW_FRACTION);
	}

	/**
	 * Returns the age of the view of the store from which on nothing is sent to the other
	 * versions once requests move to the target.
	 * @return the age in milliseconds
	 */
	public long othersViewLimitMillis() {
		return Math.max(targetViewLimitMillis(), OTHERS_VIEW_LIMIT_MILLIS);
	}

}
