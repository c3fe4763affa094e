package org.ebonyford.load;

/**
 * An upstream's report about itself, which lags behind.
 *
 * @param incarnation a number that changes when the upstream starts anew
 * @param running the requests that ran at the sample time
 * @param completed the requests that completed since the start of the incarnation
 * @param ageMillis the milliseconds since the sample was taken, as the upstream tells
 * @param leaving whether the upstream is about to leave
 */
public record LoadReport(long incarnation, int running, long completed, long ageMillis, boolean leaving) {

}
