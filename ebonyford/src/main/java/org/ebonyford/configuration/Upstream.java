package org.ebonyford.configuration;

import org.ebonyford.identity.DataCentreId;
import org.ebonyford.identity.PoolId;
import org.ebonyford.identity.UpstreamId;

/**
 * One upstream of a pool.
 *
 * @param id the name of the upstream
 * @param pool the pool that it belongs to
 * @param dataCentre the data centre that it stands in
 * @param address the host and port, such as {@code 127.0.0.1:8000}
 */
public record Upstream(UpstreamId id, PoolId pool, DataCentreId dataCentre, String address) {

}
