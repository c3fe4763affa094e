package org.ebonyford.emulator.truth;

import java.util.List;
import java.util.Map;

/**
 * What really happened at one upstream.
 *
 * @param name the name of the upstream
 * @param at when the truth was told, in milliseconds since the epoch
 * @param incarnation the number of times that the upstream started
 * @param running the requests that run
 * @param bears the requests that the upstream bears at this moment
 * @param begun the runs that began
 * @param completed the runs that came to their end
 * @param cancelled the runs that were cancelled
 * @param declined the requests that the upstream declined to run
 * @param falls the times that the upstream fell over under too much work
 * @param crashes the times that a marked request crashed the upstream
 * @param maxRunning the most requests that ran at any moment
 * @param busySlotMillis the milliseconds that slots were in use, summed over the slots
 * @param borneSlotMillis the milliseconds that slots could have been in use, summed over
 * the slots
 * @param leftAt when the upstream was told to leave, or 0 if it was not
 * @param begunAfterLeave the moments at which runs began after that, in milliseconds
 * since the epoch
 * @param lastBegunAt when the last run began, or 0 if none did
 * @param overloads the moments at which there was more to run than the upstream bore
 * @param served the cost served to each organisation, running work included
 * @param repeatedKeys the idempotency keys that ran more than once
 * @param repeatedRequests the request names that ran more than once
 * @param runs the runs in the order in which they began, empty unless they were asked for
 */
public record Truth(String name, long at, long incarnation, int running, int bears, long begun, long completed,
		long cancelled, long declined, long falls, long crashes, int maxRunning, long busySlotMillis,
		long borneSlotMillis, long leftAt, List<Long> begunAfterLeave, long lastBegunAt, List<Overload> overloads,
		Map<String, Long> served, List<String> repeatedKeys, List<String> repeatedRequests, List<Run> runs) {

	/**
	 * Creates a truth.
	 */
	public Truth {
		begunAfterLeave = List.copyOf(begunAfterLeave);
		overloads = List.copyOf(overloads);
		served = Map.copyOf(served);
		repeatedKeys = List.copyOf(repeatedKeys);
		repeatedRequests = List.copyOf(repeatedRequests);
		runs = List.copyOf(runs);
	}

}
