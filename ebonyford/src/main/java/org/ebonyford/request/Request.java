package org.ebonyford.request;

import java.util.Objects;
import java.util.Optional;

import org.ebonyford.identity.Fingerprint;
import org.ebonyford.identity.IdempotencyKey;
import org.ebonyford.identity.OrganisationId;
import org.ebonyford.identity.PoolId;
import org.ebonyford.identity.RequestClass;
import org.ebonyford.identity.RequestId;

/**
 * The facts about a request that decisions are made on.
 *
 * @param id the name of the request at the router that received it
 * @param organisation the organisation whose key came with the request
 * @param pool the pool that is to serve the request
 * @param requestClass the class of the request
 * @param costHint the expected cost in tokens or calls, at least 1
 * @param deadline the clock reading in milliseconds after which the caller no longer
 * waits
 * @param key the key of a request that may not be repeated, or empty if it may be
 * @param fingerprint the digest over the request's organisation, path and body
 */
public record Request(RequestId id, OrganisationId organisation, PoolId pool, RequestClass requestClass, long costHint,
		long deadline, Optional<IdempotencyKey> key, Fingerprint fingerprint) {

	/**
	 * Creates a request.
	 * @throws IllegalArgumentException if the cost hint is less than 1
	 */
	public Request {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(key, "key");
		if (costHint < 1) {
			throw new IllegalArgumentException("The cost hint must be at least 1");
		}
	}

}
