package org.ebonyford.dispatch;

import java.util.ArrayList;
import java.util.List;

import org.ebonyford.identity.VmId;

/**
 * Decides which owners of a pool's slots learn of requests that wait.
 */
@FunctionalInterface
public interface OwnerSelection {

	/**
	 * Returns the owners that are to learn of requests that wait.
	 * @param near the owners of slots in the router's own data centre
	 * @param far the owners of slots in other data centres only
	 * @param turn a number that grows while the requests wait
	 * @return the owners
	 */
	List<VmId> select(List<VmId> near, List<VmId> far, long turn);

	/**
	 * Takes all owners.
	 */
	enum OfAll implements OwnerSelection {

		/**
		 * The singleton instance.
		 */
		INSTANCE;

		@Override
		public List<VmId> select(List<VmId> near, List<VmId> far, long turn) {
			List<VmId> owners = new ArrayList<>(near);
			owners.addAll(far);
			return owners;
		}

	}

	/**
	 * Takes a bounded number of owners, half of them near ones, and others at every turn.
	 *
	 * @param count the number of owners, at least 2
	 */
	record OfSample(int count) implements OwnerSelection {

		/**
		 * Creates a selection.
		 * @throws IllegalArgumentException if the count is less than 2
		 */
		public OfSample {
			if (count < 2) {
				throw new IllegalArgumentException("A sample needs at least 2 owners");
			}
		}

		@Override
		public List<VmId> select(List<VmId> near, List<VmId> far, long turn) {
			int local = Math.min(near.size(), Math.max(this.count / 2, this.count - far.size()));
			List<VmId> owners = new ArrayList<>(this.count);
			rotate(near, local, turn, owners);
			rotate(far, Math.min(far.size(), this.count - local), turn, owners);
			return owners;
		}

		private static void rotate(List<VmId> from, int count, long turn, List<VmId> into) {
			for (int index = 0; index < count; index++) {
				into.add(from.get((int) Math.floorMod(turn * count + index, (long) from.size())));
			}
		}

	}

}
