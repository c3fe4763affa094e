package org.ebonyford.gateway.rollout;

/**
 * What a roll-out needs to know of a request.
 *
 * @param service the service
 * @param key the hash that requests share whose prompts begin alike, so that a prompt
 * moves to another version once
 * @param continued whether the request continues a stream, and all upstreams that can
 * take it are of the version that began it
 */
public record PlacedRequest(String service, long key, boolean continued) {
}
