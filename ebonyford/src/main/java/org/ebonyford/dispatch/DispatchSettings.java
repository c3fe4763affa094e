package org.ebonyford.dispatch;

import org.ebonyford.slot.SlotOwners;
import org.ebonyford.warmup.WarmUpPolicy;

/**
 * The bounds that dispatch keeps and the strategies that it follows.
 *
 * @param times the bounds in time
 * @param retries the bounds on retries
 * @param debtRounds the debt that a waiting organisation may carry on, as the number of
 * times that it fills all slots of the pool with requests of average cost
 * @param warmUp decides how many requests an upstream bears
 * @param slotOwners decides which router owns a slot
 * @param ownerSelection decides which owners learn of demand
 */
public record DispatchSettings(Times times, Retries retries, int debtRounds, WarmUpPolicy warmUp, SlotOwners slotOwners,
		OwnerSelection ownerSelection) {

	/**
	 * The default for the rounds of debt.
	 */
	public static final int DEFAULT_DEBT_ROUNDS = 16;

	/**
	 * The default for the completions that raise the limit of an upstream by one.
	 */
	public static final int DEFAULT_COMPLETIONS_PER_STEP = 4;

	/**
	 * Returns the settings for a fleet of today's size.
	 * @return the settings
	 */
	public static DispatchSettings defaults() {
		return new DispatchSettings(Times.defaults(), Retries.defaults(), DEFAULT_DEBT_ROUNDS,
				new WarmUpPolicy.ForCompletions(DEFAULT_COMPLETIONS_PER_STEP), SlotOwners.ForRendezvousHash.INSTANCE,
				OwnerSelection.OfAll.INSTANCE);
	}

	/**
	 * Returns settings with other bounds in time.
	 * @param value the bounds
	 * @return the settings
	 */
	public DispatchSettings withTimes(Times value) {
		return new DispatchSettings(value, this.retries, this.debtRounds, this.warmUp, this.slotOwners,
				this.ownerSelection);
	}

	/**
	 * Returns settings with another warm-up.
	 * @param value the warm-up
	 * @return the settings
	 */
	public DispatchSettings withWarmUp(WarmUpPolicy value) {
		return new DispatchSettings(this.times, this.retries, this.debtRounds, value, this.slotOwners,
				this.ownerSelection);
	}

	/**
	 * Returns settings with another owner of slots.
	 * @param value the decision on owners
	 * @return the settings
	 */
	public DispatchSettings withSlotOwners(SlotOwners value) {
		return new DispatchSettings(this.times, this.retries, this.debtRounds, this.warmUp, value, this.ownerSelection);
	}

	/**
	 * Returns settings with another selection of owners.
	 * @param value the selection
	 * @return the settings
	 */
	public DispatchSettings withOwnerSelection(OwnerSelection value) {
		return new DispatchSettings(this.times, this.retries, this.debtRounds, this.warmUp, this.slotOwners, value);
	}

	/**
	 * Returns settings with another bound on debt.
	 * @param value the number of times that a debt may fill all slots of the pool
	 * @return the settings
	 */
	public DispatchSettings withDebtRounds(int value) {
		return new DispatchSettings(this.times, this.retries, value, this.warmUp, this.slotOwners, this.ownerSelection);
	}

	/**
	 * Bounds in time, all in milliseconds.
	 *
	 * @param grantValidity how long after the demand that it answers a grant may be used
	 * @param handover how long a slot that moves between live routers stays unused; at
	 * least the validity of grants, the lag of the VM list and its poll period together
	 * @param startUp how long a slot stays unused after all routers follow the list that
	 * moved it, and after the start of a router; at least the validity of grants and the
	 * period of confirmations together
	 * @param confirmation the period in which an entry router confirms running requests
	 * @param silence how long a running request may go unconfirmed
	 * @param orphan how long a request may run on after its routers are lost, at most
	 * @param abandoned how long a request may run on after its exchange broke
	 * @param stale the age of a load report beyond which an upstream counts as cold
	 * @param lost the age of a load report beyond which an upstream gets no work
	 * @param gossip the period in which changed service totals are sent
	 * @param idle how long an organisation without backlog keeps its place, the largest
	 * number for ever
	 * @param demand the shortest time between two demands to one owner
	 * @param correction the shortest time between two demands to one owner that has
	 * requests to grant to already
	 * @param refresh the longest time between two demands to one owner while requests
	 * wait
	 * @param escalation how long a request waits for the nearest owner before all learn
	 * of it
	 */
	public record Times(long grantValidity, long handover, long startUp, long confirmation, long silence, long orphan,
			long abandoned, long stale, long lost, long gossip, long idle, long demand, long correction, long refresh,
			long escalation) {

		/**
		 * The part of the time of an abandoned request after which a cancelled one ended.
		 */
		private static final long CANCELLED_SHARE = 10;

		/**
		 * Creates bounds.
		 * @throws IllegalArgumentException if the bounds contradict each other
		 */
		public Times {
			require(grantValidity > 2 * refresh, "Grants must be valid for more than two refreshes of demand");
			require(handover > grantValidity, "A handover must take longer than grants are valid");
			require(startUp >= grantValidity + confirmation, "A start must outlast grants and one confirmation");
			require(silence > confirmation, "Silence must be longer than the period of confirmations");
			require(lost >= stale, "A lost upstream must be a stale one");
		}

		/**
		 * Returns the bounds for a fleet of today's size.
		 * @return the bounds
		 */
		public static Times defaults() {
			return new Times(1_000, 8_000, 2_200, 1_000, 3_500, 30_000, 1_000, 600, 5_000, 250, 1_000, 5, 100, 250, 5);
		}

		/**
		 * Returns bounds with another time until an organisation counts as idle.
		 * @param value the milliseconds
		 * @return the bounds
		 */
		public Times withIdle(long value) {
			return new Times(this.grantValidity, this.handover, this.startUp, this.confirmation, this.silence,
					this.orphan, this.abandoned, this.stale, this.lost, this.gossip, value, this.demand,
					this.correction, this.refresh, this.escalation);
		}

		/**
		 * Returns how long a request may run on after it was cancelled, which the
		 * upstream learns of sooner than of a broken connection.
		 * @return the milliseconds
		 */
		public long cancelled() {
			return this.abandoned / CANCELLED_SHARE;
		}

		private static void require(boolean condition, String message) {
			if (!condition) {
				throw new IllegalArgumentException(message);
			}
		}

	}

	/**
	 * Bounds on retries.
	 *
	 * @param maxBroken how often a request that may be repeated is sent again after its
	 * connection broke
	 * @param firstBackoffMillis the milliseconds for which an upstream gets no work after
	 * a first failed exchange
	 * @param maxBackoffMillis the longest such time in milliseconds
	 * @param retryAfterMillis the milliseconds after which a refused caller is told to
	 * come again
	 */
	public record Retries(int maxBroken, long firstBackoffMillis, long maxBackoffMillis, long retryAfterMillis) {

		/**
		 * Returns the bounds for a fleet of today's size.
		 * @return the bounds
		 */
		public static Retries defaults() {
			return new Retries(2, 20, 1_000, 1_000);
		}

	}

}
