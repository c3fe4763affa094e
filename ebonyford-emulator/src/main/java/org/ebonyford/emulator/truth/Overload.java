package org.ebonyford.emulator.truth;

/**
 * One moment at which an upstream had more to run than it bore.
 *
 * @param at the moment, in milliseconds since the epoch
 * @param running the requests that it had to run
 * @param bore the requests that it bore
 */
public record Overload(long at, int running, int bore) {

}
