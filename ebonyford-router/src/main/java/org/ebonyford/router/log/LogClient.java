package org.ebonyford.router.log;

import java.util.concurrent.CompletableFuture;

/**
 * Appends to and reads from the streams of the log service.
 */
public interface LogClient {

	/**
	 * Appends a record.
	 * @param stream the name of the stream
	 * @param body the body of the record
	 * @return the offset of the record, or a failure with a {@link LogException} that
	 * tells whether the append may have taken effect
	 */
	CompletableFuture<Long> append(String stream, byte[] body);

	/**
	 * Reads records.
	 * @param stream the name of the stream
	 * @param from the offset of the first record to read
	 * @param limit the number of records to read at most
	 * @param waitMillis the milliseconds to wait for a record if there is none yet
	 * @return the records, or a failure with a {@link LogException}
	 */
	CompletableFuture<LogSlice> read(String stream, long from, int limit, long waitMillis);

}
