package org.ebonyford.gateway.store;

import java.util.Optional;

/**
 * A record of a topic.
 *
 * @param key the key
 * @param value the value, empty if the key was removed
 * @param offset the offset of the record, {@link #UNKNOWN_OFFSET} if it was not told
 */
public record StoreRecord(String key, Optional<byte[]> value, long offset) {

	/**
	 * The offset of a record whose offset was not told.
	 */
	public static final long UNKNOWN_OFFSET = -1;

	/**
	 * Creates a record whose offset is unknown.
	 * @param key the key
	 * @param value the value, empty if the key was removed
	 */
	public StoreRecord(String key, Optional<byte[]> value) {
		this(key, value, UNKNOWN_OFFSET);
	}

	/**
	 * Returns the same record at an offset.
	 * @param position the offset
	 * @return the record
	 */
	public StoreRecord at(long position) {
		return new StoreRecord(this.key, this.value, position);
	}

}
