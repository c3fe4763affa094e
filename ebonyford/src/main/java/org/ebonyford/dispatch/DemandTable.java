package org.ebonyford.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.ebonyford.identity.OrganisationId;
import org.ebonyford.identity.VmId;
import org.ebonyford.message.PeerMessage.Demand;

/**
 * The demand that an owner knows of in one pool, by organisation and entry router. The
 * entry routers of one organisation take turns.
 */
final class DemandTable {

	/**
	 * The lines with waiting requests in the order of their turns.
	 */
	private final Map<OrganisationId, Deque<Line>> turns = new HashMap<>();

	/**
	 * The demand of each entry router.
	 */
	private final Map<VmId, Source> sources = new HashMap<>();

	/**
	 * Replaces all demand of an entry router.
	 * @param now the clock reading in milliseconds
	 * @param entry the VM of the entry router
	 * @param demand the new demand
	 * @return the organisations whose demand may have changed
	 */
	Collection<OrganisationId> replace(long now, VmId entry, Demand demand) {
		Source source = source(entry);
		source.receivedAt = now;
		source.sentAt = demand.sentAt();
		Set<OrganisationId> touched = new HashSet<>(source.lines.keySet());
		Set<OrganisationId> gone = new HashSet<>(source.lines.keySet());
		for (Demand.Line line : demand.lines()) {
			gone.remove(line.organisation());
			touched.add(line.organisation());
			put(source, line.organisation(), line.count(), line.costHint());
		}
		gone.forEach((organisation) -> put(source, organisation, 0, 1));
		return touched;
	}

	/**
	 * Sets the demand of one organisation at an entry router.
	 * @param entry the VM of the entry router
	 * @param organisation the organisation
	 * @param count how many requests wait
	 * @param hint the expected cost of the first one
	 */
	void put(VmId entry, OrganisationId organisation, int count, long hint) {
		put(source(entry), organisation, count, hint);
	}

	/**
	 * Forgets all demand of an entry router.
	 * @param entry the VM of the entry router
	 * @return the organisations whose demand may have changed
	 */
	Collection<OrganisationId> forget(VmId entry) {
		Source source = this.sources.remove(entry);
		if (source == null) {
			return List.of();
		}
		List<OrganisationId> touched = new ArrayList<>(source.lines.keySet());
		touched.forEach((organisation) -> put(source, organisation, 0, 1));
		return touched;
	}

	/**
	 * Returns the entry routers whose demand is too old to grant on.
	 * @param before the clock reading in milliseconds before which it is too old
	 * @param self the VM of this router, whose demand is never too old
	 * @return the VMs of the entry routers
	 */
	List<VmId> outdated(long before, VmId self) {
		List<VmId> outdated = new ArrayList<>();
		for (Source source : this.sources.values()) {
			if (source.receivedAt < before && !source.entry.equals(self)) {
				outdated.add(source.entry);
			}
		}
		return outdated;
	}

	/**
	 * Takes one request out of an organisation's demand.
	 * @param organisation the organisation
	 * @return where the request waits, or empty if none does
	 */
	Optional<Turn> take(OrganisationId organisation) {
		Deque<Line> lines = this.turns.get(organisation);
		if (lines == null) {
			return Optional.empty();
		}
		Line line = lines.pollFirst();
		line.count--;
		if (line.count > 0) {
			lines.addLast(line);
		}
		else {
			remove(line);
		}
		return Optional.of(new Turn(line.source.entry, line.source.sentAt, line.hint));
	}

	/**
	 * Returns whether demand of an organisation is known.
	 * @param organisation the organisation
	 * @return whether requests wait
	 */
	boolean waits(OrganisationId organisation) {
		return this.turns.containsKey(organisation);
	}

	private Source source(VmId entry) {
		Source source = this.sources.get(entry);
		if (source == null) {
			source = new Source(entry);
			this.sources.put(entry, source);
		}
		return source;
	}

	private void put(Source source, OrganisationId organisation, int count, long hint) {
		Line line = source.lines.get(organisation);
		if (line == null && count > 0) {
			line = new Line(source, organisation);
			source.lines.put(organisation, line);
			this.turns.computeIfAbsent(organisation, (absent) -> new ArrayDeque<>()).addLast(line);
		}
		if (line == null) {
			return;
		}
		line.count = count;
		line.hint = hint;
		if (count == 0) {
			this.turns.get(organisation).remove(line);
			remove(line);
		}
	}

	private void remove(Line line) {
		line.source.lines.remove(line.organisation);
		if (this.turns.get(line.organisation).isEmpty()) {
			this.turns.remove(line.organisation);
		}
	}

	/**
	 * Where a request waits.
	 *
	 * @param entry the VM of the entry router
	 * @param sentAt the entry router's clock reading in milliseconds at its demand
	 * @param hint the expected cost of the request
	 */
	record Turn(VmId entry, long sentAt, long hint) {

	}

	/**
	 * The demand of one entry router.
	 */
	private static final class Source {

		/**
		 * The VM of the entry router.
		 */
		private final VmId entry;

		/**
		 * The lines with waiting requests.
		 */
		private final Map<OrganisationId, Line> lines = new HashMap<>();

		/**
		 * The entry router's clock reading in milliseconds at its last demand.
		 */
		private long sentAt;

		/**
		 * The clock reading in milliseconds at which the last demand came.
		 */
		private long receivedAt;

		Source(VmId entry) {
			this.entry = entry;
		}

	}

	/**
	 * The waiting requests of one organisation at one entry router.
	 */
	private static final class Line {

		/**
		 * The demand that the line is a part of.
		 */
		private final Source source;

		/**
		 * The organisation.
		 */
		private final OrganisationId organisation;

		/**
		 * How many requests wait.
		 */
		private int count;

		/**
		 * The expected cost of the first one.
		 */
		private long hint;

		Line(Source source, OrganisationId organisation) {
			this.source = source;
			this.organisation = organisation;
		}

	}

}
