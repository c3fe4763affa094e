package org.ebonyford.load;

/**
 * A load report of an upstream, sampled some time before it arrives.
 *
 * @param incarnation a number that changes when the upstream restarts
 * @param running the requests that were running when the sample was taken
 * @param completed the requests that completed since the start of the incarnation
 * @param ageMillis the milliseconds since the sample was taken, as stated by the upstream
 * @param leaving whether the upstream is about to leave
 */
public record LoadReport(long incarnation, int running, long completed, long ageMillis, boolean leaving) {

}
