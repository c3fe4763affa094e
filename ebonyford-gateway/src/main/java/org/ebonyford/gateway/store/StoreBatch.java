package org.ebonyford.gateway.store;

import java.util.List;

/**
 * Records that were read together.
 *
 * @param records the records in their order
 * @param next the offset after the last of them
 * @param ageMillis how long before the answer the store was asked, in milliseconds; 0 if
 * the store itself answered
 * @param era how often the store has come back from an older copy, 0 if it does not tell.
 * Offsets of different eras cannot be compared.
 */
public record StoreBatch(List<StoreRecord> records, long next, long ageMillis, long era) {

	/**
	 * Creates a batch.
	 */
	public StoreBatch {
		records = List.copyOf(records);
	}

	/**
	 * Creates a batch that the store itself answered.
	 * @param records the records in their order
	 * @param next the offset after the last of them
	 */
	public StoreBatch(List<StoreRecord> records, long next) {
		this(records, next, 0, 0);
	}

	/**
	 * Creates a batch that the store itself answered.
	 * @param records the records in their order
	 * @param next the offset after the last of them
	 * @param ageMillis how long before the answer the store was asked, in milliseconds
	 */
	public StoreBatch(List<StoreRecord> records, long next, long ageMillis) {
		this(records, next, ageMillis, 0);
	}

	/**
	 * Returns the same records with an age.
	 * @param millis the age in milliseconds
	 * @return the batch
	 */
	public StoreBatch aged(long millis) {
		return new StoreBatch(this.records, this.next, millis, this.era);
	}

	/**
	 * Returns the same records of an era.
	 * @param number the era
	 * @return the batch
	 */
	public StoreBatch ofEra(long number) {
		return new StoreBatch(this.records, this.next, this.ageMillis, number);
	}

}
