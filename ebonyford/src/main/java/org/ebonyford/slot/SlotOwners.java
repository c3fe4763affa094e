package org.ebonyford.slot;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.ebonyford.configuration.Upstream;
import org.ebonyford.identity.VmId;

/**
 * Decides which router owns a slot of an upstream. All routers with the same candidates
 * come to the same owner.
 */
@FunctionalInterface
public interface SlotOwners {

	/**
	 * Returns the owner of a slot.
	 * @param upstream the upstream
	 * @param slot the index of the slot, from 0
	 * @param candidates the VMs that may own slots of the upstream
	 * @return the owner, or empty if there is no candidate
	 */
	Optional<VmId> owner(Upstream upstream, int slot, List<VmId> candidates);

	/**
	 * Takes the candidate with the highest hash, so that a change of the candidates moves
	 * only the slots that it has to.
	 */
	enum ForRendezvousHash implements SlotOwners {

		/**
		 * The singleton instance.
		 */
		INSTANCE;

		/**
		 * The first multiplier of the 64-bit finaliser of MurmurHash3.
		 */
		private static final long FIRST_MULTIPLIER = 0xff51afd7ed558ccdL;

		/**
		 * The second multiplier of the 64-bit finaliser of MurmurHash3.
		 */
		private static final long SECOND_MULTIPLIER = 0xc4ceb9fe1a85ec53L;

		/**
		 * The number of bits that the finaliser shifts by.
		 */
		private static final int SHIFT = 33;

		@Override
		public Optional<VmId> owner(Upstream upstream, int slot, List<VmId> candidates) {
			VmId best = null;
			long highest = 0;
			long key = mix(upstream.id().value().hashCode() * FIRST_MULTIPLIER + slot);
			for (VmId candidate : candidates) {
				long hash = weigh(key, candidate);
				if (best == null || hash > highest || (hash == highest && candidate.compareTo(best) < 0)) {
					best = candidate;
					highest = hash;
				}
			}
			return Optional.ofNullable(best);
		}

		private static long weigh(long key, VmId candidate) {
			return mix(key ^ (candidate.value().hashCode() * SECOND_MULTIPLIER));
		}

		private static long mix(long value) {
			long mixed = value;
			mixed = (mixed ^ (mixed >>> SHIFT)) * FIRST_MULTIPLIER;
			mixed = (mixed ^ (mixed >>> SHIFT)) * SECOND_MULTIPLIER;
			return mixed ^ (mixed >>> SHIFT);
		}

	}

	/**
	 * Spreads the slots of each pool over a few routers of a data centre, so that in a
	 * large fleet each router shares the state of few pools with few others.
	 *
	 * @param count how many routers own the slots of a pool
	 */
	record ForFewOwners(int count) implements SlotOwners {

		/**
		 * Creates a decision.
		 * @throws IllegalArgumentException if the count is less than 1
		 */
		public ForFewOwners {
			if (count < 1) {
				throw new IllegalArgumentException("A pool needs at least 1 owner");
			}
		}

		@Override
		public Optional<VmId> owner(Upstream upstream, int slot, List<VmId> candidates) {
			long key = ForRendezvousHash.mix(upstream.pool().value().hashCode());
			List<VmId> ranked = new ArrayList<>(candidates);
			ranked.sort(Comparator.comparingLong((VmId candidate) -> ForRendezvousHash.weigh(key, candidate))
				.thenComparing(Comparator.naturalOrder()));
			List<VmId> few = ranked.subList(0, Math.min(this.count, ranked.size()));
			return ForRendezvousHash.INSTANCE.owner(upstream, slot, few);
		}

	}

}
