package org.ebonyford.rollout;

import java.util.Collection;
import java.util.List;
import java.util.Set;

import org.ebonyford.directory.Rendezvous;

/**
 * Decides at a gateway which versions of a service may take a request during and after a
 * roll-out. Without an order there is no filter; with an order whose progress is not
 * known yet, only other versions take requests. If no upstream of the chosen versions can
 * take a request in the canary phase or while shifting, one of the other versions may,
 * but never one of the target in place of another in the canary phase. The load is one
 * choice for each attempt, and one check for each candidate.
 */
public final class VersionFilter {

	/**
	 * The operator's limits.
	 */
	private final RolloutSettings settings;

	/**
	 * Creates a filter.
	 * @param settings the operator's limits
	 */
	public VersionFilter(RolloutSettings settings) {
		this.settings = settings;
	}

	/**
	 * Chooses the versions that may take a new request.
	 * @param progress the newest progress that the gateway has read
	 * @param viewMillis the age of the gateway's view of the store, from
	 * {@link SettledView}
	 * @param canary whether the request is within the {@link ExposureLimit}
	 * @param draw a number from 0 to 1 (exclusive) that stays the same for requests that
	 * share a prompt, so that a prompt moves to the target once
	 * @return the versions
	 */
	public Versions choose(RolloutProgress progress, long viewMillis, boolean canary, double draw) {
		return switch (progress.phase()) {
			case CANARY ->
				(canary && viewMillis <= this.settings.targetViewLimitMillis()) ? Versions.TARGET : Versions.OTHERS;
			case SHIFTING -> whileShifting(progress, viewMillis, draw);
			case RETIRING, COMPLETED -> Versions.TARGET;
			case ROLLED_BACK -> Versions.OTHERS;
		};
	}

	/**
	 * Returns whether a request that continues a stream may go to the version that began
	 * it.
	 * @param progress the newest progress that the gateway has read
	 * @param viewMillis the age of the gateway's view of the store, from
	 * {@link SettledView}
	 * @param canary whether the request is within the {@link ExposureLimit}
	 * @param version the version that began the stream
	 * @return {@code true} if the version may still be used
	 */
	public boolean allowsContinued(RolloutProgress progress, long viewMillis, boolean canary, String version) {
		boolean target = progress.order().target().equals(version);
		boolean fresh = viewMillis <= this.settings.targetViewLimitMillis();
		return switch (progress.phase()) {
			case CANARY -> !target || (canary && fresh);
			case SHIFTING -> target ? fresh : viewMillis <= this.settings.othersViewLimitMillis();
			case RETIRING -> target || fresh;
			case COMPLETED -> target;
			case ROLLED_BACK -> !target;
		};
	}

	/**
	 * Chooses the upstreams that take the canary requests. Their number is small enough
	 * that each gets as many requests as an upstream of another version, so that faults
	 * under load show.
	 * @param progress the newest progress that the gateway has read
	 * @param targets the identifiers of the registered upstreams of the target that take
	 * requests
	 * @param others the number of upstreams of other versions that take requests
	 * @return the upstreams that may take requests for the target
	 */
	public Set<String> targets(RolloutProgress progress, Collection<String> targets, int others) {
		if (progress.phase() != RolloutPhase.CANARY) {
			return Set.copyOf(targets);
		}
		double share = Math.min(progress.share(), this.settings.canaryShare());
		int count = (int) Math.max(1, Math.floor(others * share / (1 - share)));
		List<String> order = Rendezvous.order(progress.order().service(), targets);
		return Set.copyOf(order.subList(0, Math.min(count, order.size())));
	}

	private Versions whileShifting(RolloutProgress progress, long viewMillis, double draw) {
		if (viewMillis > this.settings.othersViewLimitMillis()) {
			return Versions.TARGET;
		}
		boolean fresh = viewMillis <= this.settings.targetViewLimitMillis();
		return (fresh && draw < progress.share()) ? Versions.TARGET : Versions.OTHERS;
	}

	/**
	 * The versions that may take a request.
	 */
	public enum Versions {

		/**
		 * Only the target.
		 */
		TARGET,

		/**
		 * Only versions other than the target.
		 */
		OTHERS;

		/**
		 * Returns whether an upstream's version may take the request.
		 * @param order the order in force
		 * @param version the upstream's version
		 * @return {@code true} if it may
		 */
		public boolean include(RolloutOrder order, String version) {
			return order.target().equals(version) == (this == TARGET);
		}

	}

}
