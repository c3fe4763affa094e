package org.ebonyford.placement;

import java.util.Collection;
import java.util.Optional;
import java.util.function.BooleanSupplier;

import org.ebonyford.directory.Rendezvous;

/**
 * Places a request on one of the upstreams that may take it.
 */
public interface Placement {

	/**
	 * Chooses an upstream.
	 * @param work the work of the request
	 * @param candidates the upstreams that may take it
	 * @param terms when its first byte should come, and where it may go
	 * @param now the time in milliseconds
	 * @return the choice, or empty if no candidate has room
	 */
	Optional<Choice> choose(Work work, Collection<UpstreamState> candidates, PlacementTerms terms, long now);

	/**
	 * Places requests on model engines. It answers the load of long prompts that share
	 * parts: an engine that keeps the shared parts is worth a longer wait, up to a few
	 * times the reading that it saves, but only as long as the request is on time there
	 * or nowhere. Routers agree on the home of a prompt without messages. Where engines
	 * transfer memory between them, another engine fetches the shared parts from the home
	 * instead of reading them again, so that a busy home costs little.
	 */
	final class ForEngines implements Placement {

		/**
		 * How many milliseconds of waiting a millisecond of repeated reading is worth.
		 * Reading delays every request of the engine, not only this one.
		 */
		private static final double REPEATED_PREFILL_WEIGHT = 12;

		/**
		 * The missing tokens from which a transfer is worth its beginning.
		 */
		private static final int MIN_TRANSFER_TOKENS = 128;

		/**
		 * The shared tokens from which a request of an organisation beyond its share is
		 * bound to its homes while other engines have work.
		 */
		private static final int MIN_HOME_ONLY_TOKENS = 1_000;

		/**
		 * The part of an engine's slots up to which it counts as idle: few requests are
		 * delayed there by what is read again.
		 */
		private static final double IDLE_SLOT_FRACTION = 0.125;

		/**
		 * The part of an engine's memory that running requests may fill. Beyond it the
		 * engine preempts the newest.
		 */
		private static final double MAX_MEMORY_FRACTION = 0.92;

		/**
		 * The delay in milliseconds that a stalled stream counts for: a late stream is
		 * worth less than half of one on time.
		 */
		private static final double STALL_PENALTY_MILLIS = 200;

		/**
		 * The delay in milliseconds that a share of failures of 1 counts for.
		 */
		private static final double FAILURE_PENALTY_MILLIS = 3_000;

		/**
		 * The delay in milliseconds that leaving the data centre counts for.
		 */
		private static final double REMOTE_PENALTY_MILLIS = 8;

		/**
		 * The number of engines, besides the homes, that are looked at for a request.
		 * Among many engines a look at some finds nearly as good a place as a look at all
		 * and keeps routers with old reports from choosing alike.
		 */
		private static final int SAMPLE_SIZE = 12;

		/**
		 * The data centre of this router.
		 */
		private final String dataCentre;

		/**
		 * How fast the engines work.
		 */
		private final ServicePace pace;

		/**
		 * Whether engines transfer memory between them.
		 */
		private final BooleanSupplier transfers;

		/**
		 * The number of requests that were placed, by which the engines take turns.
		 */
		private int placements;

		/**
		 * Creates a placement.
		 * @param dataCentre the data centre of this router
		 * @param pace how fast the engines work
		 * @param transfers whether engines transfer memory between them
		 */
		public ForEngines(String dataCentre, ServicePace pace, BooleanSupplier transfers) {
			this.dataCentre = dataCentre;
			this.pace = pace;
			this.transfers = transfers;
		}

		@Override
		public Optional<Choice> choose(Work work, Collection<UpstreamState> candidates, PlacementTerms terms,
				long now) {
			Homes homes = Homes.of(work, candidates);
			int stride = Math.max(candidates.size() / SAMPLE_SIZE, 1);
			int offset = Math.floorMod(this.placements++, stride);
			int index = 0;
			boolean homeOnly = terms.homeOnly() && work.sharedTokens() >= MIN_HOME_ONLY_TOKENS;
			Choice best = null;
			double minCost = Double.POSITIVE_INFINITY;
			Choice earliest = null;
			for (UpstreamState candidate : candidates) {
				boolean sampled = index++ % stride == offset;
				if (!sampled && !homes.contains(candidate)) {
					continue;
				}
				Load load = candidate.totalLoad(now);
				boolean full = load.memoryTokens() + work.memoryTokens() > candidate.memoryTokens()
						* MAX_MEMORY_FRACTION;
				boolean idle = load.running() <= candidate.entry().slots() * IDLE_SLOT_FRACTION;
				if (full || (homeOnly && !idle && !homes.contains(candidate))) {
					continue;
				}
				Choice choice = predict(work, candidate, load, homes, now);
				double cost = cost(work, choice, homes, now)
						+ (AdmissionControl.stallsStreams(choice, terms) ? STALL_PENALTY_MILLIS * load.running() : 0);
				if (AdmissionControl.admits(choice, terms) && cost < minCost) {
					best = choice;
					minCost = cost;
				}
				earliest = (earliest == null || choice.firstByteMillis() < earliest.firstByteMillis()) ? choice
						: earliest;
			}
			return Optional.ofNullable((best != null) ? best : earliest);
		}

		private Choice predict(Work work, UpstreamState candidate, Load load, Homes homes, long now) {
			boolean home = homes.first() == candidate.hash();
			int cached = Math.max(candidate.prefixCache().cachedTokens(work), home ? work.sharedTokens() : 0);
			int missing = Math.max(work.sharedTokens() - cached, 0);
			boolean fetched = missing >= MIN_TRANSFER_TOKENS && this.transfers.getAsBoolean();
			int prefillTokens = Math.max(work.promptTokens() - cached, 0);
			double slowness = candidate.slowness(now);
			int slots = Math.max(candidate.entry().slots(), 1);
			double slotMillis = Math.max(load.running() + 1 - slots, 0) * this.pace.totalMillis() / slots;
			double queueMillis = (this.pace.prefillMillis(load.prefillTokens()) + slotMillis) * slowness;
			return new Choice(candidate, queueMillis + this.pace.firstByteMillis(prefillTokens) * slowness, queueMillis,
					this.pace.prefillMillis(prefillTokens) * slowness, prefillTokens, load.prefillTokens(),
					load.running(), home, fetched ? Optional.of(homes.firstState()) : Optional.empty());
		}

		private double cost(Work work, Choice choice, Homes homes, long now) {
			UpstreamState candidate = choice.upstream();
			int missing = Math.max(work.sharedTokens() - candidate.prefixCache().cachedTokens(work), 0);
			double repeatedPrefill = REPEATED_PREFILL_WEIGHT * this.pace.prefillMillis(missing)
					* homes.missingFraction(candidate);
			double remotePenalty = candidate.entry().dataCentre().equals(this.dataCentre) ? 0 : REMOTE_PENALTY_MILLIS;
			return choice.firstByteMillis() + repeatedPrefill + remotePenalty
					+ FAILURE_PENALTY_MILLIS * candidate.health().failureRate(now);
		}

	}

	/**
	 * The two engines on which the shared parts of a prompt are kept: routers agree on
	 * them without messages, and what the first cannot take goes to the second.
	 *
	 * @param first the hash of the first engine, 0 if there is none
	 * @param second the hash of the second engine, 0 if there is none
	 * @param firstState the first engine, {@code null} if there is none
	 */
	record Homes(long first, long second, UpstreamState firstState) {

		/**
		 * The part of the shared tokens that the second engine is taken to lack.
		 */
		private static final double SECOND_MISSING_FRACTION = 0.3;

		static Homes of(Work work, Collection<UpstreamState> candidates) {
			long key = work.homeKey();
			long[] hashes = new long[2];
			long[] weights = { Long.MIN_VALUE, Long.MIN_VALUE };
			UpstreamState best = null;
			for (UpstreamState candidate : candidates) {
				long weight = Rendezvous.weight(key, candidate.hash());
				int rank = (weight > weights[0]) ? 0 : (weight > weights[1]) ? 1 : 2;
				if (rank == 0) {
					hashes[1] = hashes[0];
					weights[1] = weights[0];
				}
				best = (rank == 0) ? candidate : best;
				if (rank < 2) {
					hashes[rank] = candidate.hash();
					weights[rank] = weight;
				}
			}
			return new Homes(hashes[0], hashes[1], best);
		}

		boolean contains(UpstreamState candidate) {
			return candidate.hash() == this.first || candidate.hash() == this.second;
		}

		double missingFraction(UpstreamState candidate) {
			if (candidate.hash() == this.first) {
				return 0;
			}
			return (candidate.hash() == this.second) ? SECOND_MISSING_FRACTION : 1;
		}

	}

	/**
	 * Places short requests on the upstream that is expected to answer first. It answers
	 * the load of upstreams that are slow, fail part of their requests, or queue.
	 */
	final class ForServices implements Placement {

		/**
		 * How many answers' time a share of failures of 1 counts for.
		 */
		private static final double FAILURE_PENALTY_FACTOR = 8;

		/**
		 * The delay in milliseconds that leaving the data centre counts for.
		 */
		private static final double REMOTE_PENALTY_MILLIS = 3;

		/**
		 * The data centre of this router.
		 */
		private final String dataCentre;

		/**
		 * How fast the upstreams work.
		 */
		private final ServicePace pace;

		/**
		 * Creates a placement.
		 * @param dataCentre the data centre of this router
		 * @param pace how fast the upstreams work
		 */
		public ForServices(String dataCentre, ServicePace pace) {
			this.dataCentre = dataCentre;
			this.pace = pace;
		}

		@Override
		public Optional<Choice> choose(Work work, Collection<UpstreamState> candidates, PlacementTerms terms,
				long now) {
			Choice best = null;
			double minCost = Double.POSITIVE_INFINITY;
			for (UpstreamState candidate : candidates) {
				int running = candidate.totalLoad(now).running();
				int slots = Math.max(candidate.entry().slots(), 1);
				double requestMillis = this.pace.firstByteMillis(0) * candidate.slowness(now);
				double queueMillis = requestMillis * Math.max(running + 1 - slots, 0) / slots;
				double utilisationPenalty = requestMillis * running / slots;
				double remotePenalty = candidate.entry().dataCentre().equals(this.dataCentre) ? 0
						: REMOTE_PENALTY_MILLIS;
				double failurePenalty = FAILURE_PENALTY_FACTOR * requestMillis * candidate.health().failureRate(now);
				double cost = requestMillis + queueMillis + utilisationPenalty + remotePenalty + failurePenalty;
				if (cost < minCost) {
					best = new Choice(candidate, requestMillis + queueMillis, queueMillis, 0, 0, 0, running, false);
					minCost = cost;
				}
			}
			return Optional.ofNullable(best);
		}

	}

}
