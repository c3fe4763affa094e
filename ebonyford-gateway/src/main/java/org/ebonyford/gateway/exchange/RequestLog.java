package org.ebonyford.gateway.exchange;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

import org.ebonyford.gateway.log.LogLine;

/**
 * Buffers the log lines of one request and writes them when it ends: always if it failed
 * or an upstream was silent, otherwise for a sample of the requests. This bounds the
 * volume of the log and keeps failures complete.
 */
final class RequestLog {

	/**
	 * The maximum number of lines per request; further lines are dropped.
	 */
	private static final int MAX_LINES = 24;

	/**
	 * Provides the clock, the log and the sampling decision.
	 */
	private final ExchangeContext context;

	/**
	 * The buffered lines.
	 */
	private final List<LogLine> lines = new ArrayList<>(4);

	/**
	 * When each line was added, in milliseconds since the epoch.
	 */
	private final List<Long> times = new ArrayList<>(4);

	/**
	 * Whether the request failed or an upstream was silent, so that its lines are always
	 * written.
	 */
	private boolean notable;

	/**
	 * Whether lines that are composed on demand are skipped.
	 */
	private boolean suppressed;

	RequestLog(ExchangeContext context) {
		this.context = context;
	}

	RequestLog add(LogLine line) {
		if (this.lines.size() < MAX_LINES) {
			this.lines.add(line);
			this.times.add(this.context.wallClock().millis());
		}
		return this;
	}

	/**
	 * Adds a line that is composed only if lines are not suppressed.
	 * @param line composes the line
	 * @return this log
	 */
	RequestLog add(Supplier<LogLine> line) {
		return this.suppressed ? this : add(line.get());
	}

	/**
	 * Skips the lines that are composed on demand, since the log would drop them, and
	 * counts the request as left out.
	 */
	void suppress() {
		this.suppressed = true;
		this.context.log().countDropped();
	}

	RequestLog markNotable() {
		this.notable = true;
		return this;
	}

	void write() {
		if (!this.notable && !this.context.sampleSuccess()) {
			return;
		}
		for (int index = 0; index < this.lines.size(); index++) {
			this.context.log().write(this.lines.get(index), this.times.get(index));
		}
	}

}
