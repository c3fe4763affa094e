package org.ebonyford.gateway.store;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * A client of the platform's store. All futures complete on the event loop, with a
 * {@link StoreException} or an exception of the connection if a call did not succeed.
 */
public interface MetadataStore {

	/**
	 * Reads the newest record of each key. Records that are written meanwhile are found
	 * by reading on from the offset.
	 * @param topic the topic
	 * @return the records, and the offset from which to read on
	 */
	CompletableFuture<StoreBatch> newest(StoreTopic topic);

	/**
	 * Reads records in their order.
	 * @param topic the topic
	 * @param from the offset of the first record
	 * @param waitMillis how long the store may wait for a record, in milliseconds
	 * @return the records, none if there was none in that time
	 */
	CompletableFuture<StoreBatch> read(StoreTopic topic, long from, long waitMillis);

	/**
	 * Reads records in their order, without a wait and not through a peer, whose own
	 * records may be old.
	 * @param topic the topic
	 * @param from the offset of the first record
	 * @return the records, none if there are none yet
	 */
	default CompletableFuture<StoreBatch> readNow(StoreTopic topic, long from) {
		return read(topic, from, 0);
	}

	/**
	 * Appends a record.
	 * @param topic the topic
	 * @param key the key
	 * @param value the value, empty to remove the key
	 * @return completes when the store has acknowledged the record
	 */
	CompletableFuture<Void> append(StoreTopic topic, String key, Optional<byte[]> value);

	/**
	 * Appends a record if the topic ends at an offset. An append without an answer may
	 * still be executed later, but only while that condition holds.
	 * @param topic the topic
	 * @param key the key
	 * @param value the value, empty to remove the key
	 * @param at the offset that the record is to have
	 * @return completes when the store has acknowledged the record; fails with a
	 * {@link StoreConflictException} if the topic ends elsewhere
	 */
	default CompletableFuture<Void> appendAt(StoreTopic topic, String key, Optional<byte[]> value, long at) {
		return CompletableFuture.failedFuture(new StoreException("The store has no conditional appends", false));
	}

}
