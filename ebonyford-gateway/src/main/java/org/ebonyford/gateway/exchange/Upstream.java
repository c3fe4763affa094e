package org.ebonyford.gateway.exchange;

import org.ebonyford.gateway.http.ConnectionPool;
import org.ebonyford.placement.UpstreamState;

/**
 * An upstream with its state and its connection pool.
 *
 * @param state its health, load and directory entry
 * @param pool the pool of connections to it
 */
public record Upstream(UpstreamState state, ConnectionPool pool) {
}
