package org.ebonyford.router.log;

import java.util.List;

/**
 * Consecutive records of a stream.
 *
 * @param first the lowest offset that the log still keeps
 * @param next the offset that follows the last record of the slice
 * @param end the offset that follows the last record in the log
 * @param records the records in the order of their offsets
 */
public record LogSlice(long first, long next, long end, List<LogRecord> records) {

	/**
	 * Creates a slice.
	 */
	public LogSlice {
		records = List.copyOf(records);
	}

	/**
	 * One record of a stream.
	 *
	 * @param offset the offset of the record
	 * @param time the time of the append in milliseconds since the epoch
	 * @param body the body of the record
	 */
	public record LogRecord(long offset, long time, byte[] body) {

	}

}
