package org.ebonyford.gateway.store;

import java.util.Optional;

/**
 * A record of a topic.
 *
 * @param key the key
 * @param value the value, empty if the key was removed
 */
public record StoreRecord(String key, Optional<byte[]> value) {
}
