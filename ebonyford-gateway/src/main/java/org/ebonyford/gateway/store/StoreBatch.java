package org.ebonyford.gateway.store;

import java.util.List;

/**
 * Records that were read together.
 *
 * @param records the records in their order
 * @param next the offset after the last of them
 */
public record StoreBatch(List<StoreRecord> records, long next) {

	/**
	 * Creates a batch.
	 */
	public StoreBatch {
		records = List.copyOf(records);
	}

}
