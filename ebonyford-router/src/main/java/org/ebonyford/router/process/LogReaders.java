package org.ebonyford.router.process;

import java.util.List;

import org.ebonyford.router.log.LogTailer;

/**
 * Reads the streams of the log that a router follows.
 *
 * @param tailers one reader for each stream
 */
record LogReaders(List<LogTailer> tailers) implements AutoCloseable {

	/**
	 * Creates readers.
	 */
	LogReaders {
		tailers = List.copyOf(tailers);
	}

	/**
	 * Starts to read all streams.
	 */
	void start() {
		this.tailers.forEach(LogTailer::start);
	}

	@Override
	public void close() {
		this.tailers.forEach(LogTailer::close);
	}

}
