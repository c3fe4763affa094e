package org.ebonyford.slot;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.ebonyford.identity.GrantId;

/**
 * Remembers which requests ran in the slots of other owners and what the upstream
 * reported, so that a report can be explained once all routers have confirmed what they
 * ran at its sample time.
 */
final class Witness {

	/**
	 * The requests in slots of other owners.
	 */
	private final Map<GrantId, Sighting> sightings = new HashMap<>();

	/**
	 * The last reports, the oldest first.
	 */
	private final Deque<Sample> samples = new ArrayDeque<>();

	/**
	 * Takes in that a request runs in a slot of another owner.
	 * @param grant the request's grant
	 * @param now the clock reading in milliseconds
	 */
	void seen(GrantId grant, long now) {
		this.sightings.computeIfAbsent(grant, (absent) -> new Sighting(now)).last = now;
	}

	/**
	 * Takes in a report.
	 * @param sample the report
	 */
	void reported(Sample sample) {
		this.samples.addLast(sample);
	}

	/**
	 * Returns the latest report that all routers have confirmed their requests after.
	 * @param before the clock reading in milliseconds since which all have confirmed
	 * @return the report, or empty if there is none
	 */
	Optional<Sample> explained(long before) {
		Sample latest = null;
		while (!this.samples.isEmpty() && this.samples.peekFirst().at() <= before) {
			latest = this.samples.pollFirst();
		}
		this.sightings.values().removeIf((sighting) -> sighting.last < before);
		return Optional.ofNullable(latest);
	}

	/**
	 * Returns how many requests certainly ran in slots of other owners.
	 * @param from the clock reading in milliseconds since which they ran at the latest
	 * @param until the clock reading in milliseconds until which they ran at least
	 * @return the requests
	 */
	int certain(long from, long until) {
		int certain = 0;
		for (Sighting sighting : this.sightings.values()) {
			if (sighting.first <= from && sighting.last >= until) {
				certain++;
			}
		}
		return certain;
	}

	/**
	 * What a report tells.
	 *
	 * @param at the clock reading in milliseconds of the sample
	 * @param running the requests that ran
	 */
	record Sample(long at, int running) {

	}

	/**
	 * When a request was confirmed.
	 */
	private static final class Sighting {

		/**
		 * The clock reading in milliseconds of the first confirmation.
		 */
		private final long first;

		/**
		 * The clock reading in milliseconds of the last confirmation.
		 */
		private long last;

		Sighting(long now) {
			this.first = now;
		}

	}

}
