package org.ebonyford.peer;

import java.util.ArrayList;
import java.util.List;

import org.ebonyford.identity.VmId;

/**
 * Chooses the peers that a heartbeat goes to.
 */
@FunctionalInterface
public interface Audience {

	/**
	 * Chooses peers.
	 * @param peers all peers in a stable order
	 * @param turn the number of the heartbeat, counted from 0
	 * @return the peers that get this heartbeat
	 */
	List<VmId> select(List<VmId> peers, long turn);

	/**
	 * Chooses all peers each time.
	 */
	enum ForAll implements Audience {

		/**
		 * The singleton instance.
		 */
		INSTANCE;

		@Override
		public List<VmId> select(List<VmId> peers, long turn) {
			return peers;
		}

	}

	/**
	 * Chooses the next few peers each time, so that each peer has its turn.
	 *
	 * @param size the number of peers to choose, at least 1
	 */
	record OfRotation(int size) implements Audience {

		/**
		 * Creates an audience.
		 * @throws IllegalArgumentException if the size is less than 1
		 */
		public OfRotation {
			if (size < 1) {
				throw new IllegalArgumentException("A heartbeat needs at least one receiver");
			}
		}

		@Override
		public List<VmId> select(List<VmId> peers, long turn) {
			if (peers.size() <= this.size) {
				return peers;
			}
			List<VmId> chosen = new ArrayList<>(this.size);
			for (int index = 0; index < this.size; index++) {
				chosen.add(peers.get((int) ((turn * this.size + index) % peers.size())));
			}
			return chosen;
		}

	}

}
