package org.ebonyford.placement;

import java.util.OptionalDouble;

/**
 * What an upstream states about itself in the head of an answer.
 *
 * @param running the requests that it runs
 * @param waiting the requests that wait there
 * @param slots the requests that it runs at once
 * @param pace the time that work takes there at present as a multiple of the usual time,
 * empty if the upstream does not state it
 * @param observedAt when the answer was received, in milliseconds
 */
public record ReportedLoad(int running, int waiting, int slots, OptionalDouble pace, long observedAt) {
}
