package org.ebonyford.placement;

import java.util.Collection;
import java.util.Optional;
import java.util.function.BooleanSupplier;

import org.ebonyford.directory.Rendezvous;

/**
 * Selects an upstream for a request.
 */
public interface Placement {

	/**
	 * Chooses an upstream.
	 * @param work the work of the request
	 * @param candidates the upstreams that may take it
	 * @param terms when its first byte is due and where it may go
	 * @param now the time in milliseconds
	 * @return the choice, or empty if no candidate has room
	 */
	Optional<Choice> choose(Work work, Collection<UpstreamState> candidates, PlacementTerms terms, long now);

	/**
	 * Places requests on model engines by expected latency and prefix reuse. An engine
	 * that has the shared parts of a prompt in its prefix cache is worth a longer wait,
	 * several times the prefill time that it saves, but only if the request is on time
	 * there or is late everywhere. Routers agree on the home of a prompt by rendezvous
	 * hashing, without messages. Where engines can transfer KV cache, another engine
	 * fetches the shared parts from the home instead of repeating their prefill, so that
	 * a busy home costs little.
	 * <p>
	 * The present pace that an engine states counts for the choice between engines, but
	 * not for admission: on the model, requests that left a home because they would have
	 * been late at its present pace repeated so much prefill that more requests were late
	 * than without knowing the pace.
	 */
	final class ForEngines implements Placement {

		/**
		 * The cost of a millisecond of repeated prefill, in milliseconds of waiting.
		 * Prefill delays every request of the engine, not only this one.
		 */
		private static final double REPEATED_PREFILL_WEIGHT = 12;

		/**
		 * The minimum number of missing tokens for which a transfer is worth its start-up
		 * cost.
		 */
		private static final int MIN_TRANSFER_TOKENS = 128;

		/**
		 * The minimum number of shared tokens for which a home-only request avoids other
		 * engines that are not idle.
		 */
		private static final int MIN_HOME_ONLY_TOKENS = 1_000;

		/**
		 * The fraction of an engine's slots up to which it counts as idle: repeated
		 * prefill delays few requests there.
		 */
		private static final double IDLE_SLOT_FRACTION = 0.125;

		/**
		 * The fraction of an engine's KV cache that running requests may fill. Beyond it
		 * the engine preempts the newest request.
		 */
		private static final double MAX_MEMORY_FRACTION = 0.92;

		/**
		 * The cost in milliseconds of each stalled stream: a late stream is worth less
		 * than half of one on time.
		 */
		private static final double STALL_PENALTY_MILLIS = 200;

		/**
		 * The cost in milliseconds of a failure rate of 1.
		 */
		private static final double FAILURE_PENALTY_MILLIS = 3_000;

		/**
		 * The cost in milliseconds of an upstream in another data centre.
		 */
		private static final double REMOTE_PENALTY_MILLIS = 8;

		/**
		 * The approximate number of engines, besides the homes, that are considered for a
		 * request. Among many engines, a sample finds nearly as good an engine as a full
		 * scan and keeps routers with stale reports from making the same choice.
		 */
		private static final int SAMPLE_SIZE = 12;

		/**
		 * The data centre of this router.
		 */
		private final String dataCentre;

		/**
		 * The latency estimates of the engines.
		 */
		private final ServicePace pace;

		/**
		 * Whether engines can transfer KV cache to each other.
		 */
		private final BooleanSupplier transfers;

		/**
		 * The number of placed requests, which rotates the sample of engines.
		 */
		private int placements;

		/**
		 * Creates a placement.
		 * @param dataCentre the data centre of this router
		 * @param pace the latency estimates of the engines
		 * @param transfers whether engines can transfer KV cache to each other
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
			return choice.firstByteMillis() * candidate.presentPace(now) + repeatedPrefill + remotePenalty
					+ FAILURE_PENALTY_MILLIS * candidate.health().failureRate(now);
		}

	}

	/**
	 * The two engines that cache the shared parts of a prompt. Routers agree on them by
	 * rendezvous hashing, without messages; requests that the first cannot take go to the
	 * second.
	 *
	 * @param first the hash of the first engine, 0 if there is none
	 * @param second the hash of the second engine, 0 if there is none
	 * @param firstState the first engine, {@code null} if there is none
	 */
	record Homes(long first, long second, UpstreamState firstState) {

		/**
		 * The fraction of the shared tokens that the second engine is assumed to lack.
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
	 * Places short requests on the upstream with the lowest expected latency, and avoids
	 * upstreams that are slow, fail some requests or queue them.
	 */
	final class ForServices implements Placement {

		/**
		 * The cost of a failure rate of 1, as a multiple of the expected time of a
		 * request.
		 */
		private static final double FAILURE_PENALTY_FACTOR = 8;

		/**
		 * The cost in milliseconds of an upstream in another data centre.
		 */
		private static final double REMOTE_PENALTY_MILLIS = 3;

		/**
		 * The data centre of this router.
		 */
		private final String dataCentre;

		/**
		 * The latency estimates of the upstreams.
		 */
		private final ServicePace pace;

		/**
		 * Creates a placement.
		 * @param dataCentre the data centre of this router
		 * @param pace the latency estimates of the upstreams
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
				double usualMillis = this.pace.firstByteMillis(0) * candidate.slowness(now);
				double requestMillis = usualMillis * candidate.presentPace(now);
				double queueMillis = requestMillis * Math.max(running + 1 - slots, 0) / slots;
				double utilisationPenalty = requestMillis * running / slots;
				double remotePenalty = candidate.entry().dataCentre().equals(this.dataCentre) ? 0
						: REMOTE_PENALTY_MILLIS;
				double failurePenalty = FAILURE_PENALTY_FACTOR * requestMillis * candidate.health().failureRate(now);
				double cost = requestMillis + queueMillis + utilisationPenalty + remotePenalty + failurePenalty;
				if (cost < minCost) {
					double usualQueueMillis = usualMillis * Math.max(running + 1 - slots, 0) / slots;
					best = new Choice(candidate, usualMillis + usualQueueMillis, usualQueueMillis, 0, 0, 0, running,
							false);
					minCost = cost;
				}
			}
			return Optional.ofNullable(best);
		}

	}

}
