package org.ebonyford.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

import org.ebonyford.identity.Incarnation;

/**
 * Notices which processes ended so long ago that their totals can be taken over.
 */
final class EndedProcesses {

	/**
	 * The milliseconds for which a process must have been gone, in which all that it sent
	 * has arrived.
	 */
	private static final long GONE_MILLIS = 600_000;

	/**
	 * The milliseconds between two looks at the processes.
	 */
	private static final long PERIOD_MILLIS = 1_000;

	/**
	 * The clock reading in milliseconds at which a process was first seen to be gone.
	 */
	private final Map<Incarnation, Long> goneSince = new HashMap<>();

	/**
	 * The clock reading in milliseconds of the next look.
	 */
	private long nextAt = Long.MIN_VALUE;

	/**
	 * Returns whether it is time to look at the processes again.
	 * @param now the clock reading in milliseconds
	 * @return whether the last look was long enough ago
	 */
	boolean due(long now) {
		if (now < this.nextAt) {
			return false;
		}
		this.nextAt = now + PERIOD_MILLIS;
		return true;
	}

	/**
	 * Looks at all processes whose totals are kept.
	 * @param now the clock reading in milliseconds
	 * @param processes the processes
	 * @param gone tells whether a process ended as far as is known now
	 * @return those that have been gone long enough without a break
	 */
	Set<Incarnation> look(long now, Set<Incarnation> processes, Predicate<Incarnation> gone) {
		this.goneSince.keySet().retainAll(processes);
		Set<Incarnation> ended = new HashSet<>();
		for (Incarnation process : processes) {
			if (!gone.test(process)) {
				this.goneSince.remove(process);
			}
			else if (now - this.goneSince.computeIfAbsent(process, (absent) -> now) >= GONE_MILLIS) {
				ended.add(process);
			}
		}
		return ended;
	}

}
