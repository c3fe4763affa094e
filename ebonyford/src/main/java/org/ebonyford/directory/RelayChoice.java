package org.ebonyford.directory;

import java.util.Collection;
import java.util.List;
import java.util.Optional;

/**
 * Chooses the router through which the others read the store, so that its load does not
 * grow with the number of routers. Routers that see the same members choose alike; where
 * they do not, a record only takes one more step, since each answer tells its age.
 */
public final class RelayChoice {

	/**
	 * The number of routers up to which a single one reads for all. Beyond it, one reads
	 * for each data centre: what a relay answers then stays a small part of a core.
	 */
	private static final int ONE_FOR_ALL = 16;

	/**
	 * The key by which routers are ordered.
	 */
	private static final String KEY = "relay";

	private RelayChoice() {
	}

	/**
	 * Chooses the router that relays.
	 * @param self this router
	 * @param alive the other routers that were heard lately and know the store's state
	 * @return the router, or empty if this router reads the store itself
	 */
	public static Optional<RouterRoster.Member> of(RouterRoster.Member self, Collection<RouterRoster.Member> alive) {
		boolean all = alive.size() < ONE_FOR_ALL;
		List<RouterRoster.Member> group = alive.stream()
			.filter((member) -> all || member.dataCentre().equals(self.dataCentre()))
			.toList();
		long key = Rendezvous.hash(KEY);
		long own = Rendezvous.weight(key, Rendezvous.hash(self.name()));
		RouterRoster.Member first = null;
		long greatest = own;
		for (RouterRoster.Member member : group) {
			long weight = Rendezvous.weight(key, Rendezvous.hash(member.name()));
			if (weight > greatest) {
				first = member;
				greatest = weight;
			}
		}
		return Optional.ofNullable(first);
	}

}
