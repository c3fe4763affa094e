package org.ebonyford.claim;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import org.ebonyford.identity.DataCentreId;
import org.ebonyford.identity.VmId;

/**
 * Decides in which order the routers of a data centre are asked to append the statements
 * of all of them. Routers that come to different orders cost appends and nothing else.
 */
@FunctionalInterface
public interface WriterOrder {

	/**
	 * Orders routers.
	 * @param dataCentre the data centre
	 * @param routers the live routers of the data centre
	 * @return the routers, the one to be asked first at the front
	 */
	List<VmId> of(DataCentreId dataCentre, Collection<VmId> routers);

	/**
	 * Orders routers by a hash of the data centre and the VM, so that all routers with
	 * the same list come to the same order and a change of the list moves only what it
	 * has to.
	 */
	enum ForRendezvousHash implements WriterOrder {

		/**
		 * The singleton instance.
		 */
		INSTANCE;

		/**
		 * The odd number next to 2 to the power of 64 divided by the golden ratio, which
		 * spreads neighbouring hashes.
		 */
		private static final long MULTIPLIER = 0x9e3779b97f4a7c15L;

		@Override
		public List<VmId> of(DataCentreId dataCentre, Collection<VmId> routers) {
			return routers.stream()
				.sorted(Comparator.comparingLong((VmId vm) -> weight(dataCentre, vm))
					.thenComparing(Comparator.naturalOrder()))
				.toList();
		}

		private static long weight(DataCentreId dataCentre, VmId vm) {
			return (dataCentre.value() + "/" + vm.value()).hashCode() * MULTIPLIER;
		}

	}

	/**
	 * Asks no router, so that each one appends its own statements.
	 */
	enum Disabled implements WriterOrder {

		/**
		 * The singleton instance.
		 */
		INSTANCE;

		@Override
		public List<VmId> of(DataCentreId dataCentre, Collection<VmId> routers) {
			return List.of();
		}

	}

}
