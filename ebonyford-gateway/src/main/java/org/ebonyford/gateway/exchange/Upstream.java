package org.ebonyford.gateway.exchange;

import org.ebonyford.gateway.http.ConnectionPool;
import org.ebonyford.placement.UpstreamState;

/**
 * An upstream and the connections to it.
 *
 * @param state what is known of it
 * @param pool the connections
 */
public record Upstream(UpstreamState state, ConnectionPool pool) {
}
