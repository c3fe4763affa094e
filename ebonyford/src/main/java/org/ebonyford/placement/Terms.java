package org.ebonyford.placement;

/**
 * The terms on which a request is placed.
 *
 * @param limitMillis the time in milliseconds within which the first byte should come
 * @param spills whether the request may go where its shared parts have to be read again;
 * what an organisation asks beyond its share may not
 */
public record Terms(double limitMillis, boolean spills) {
}
