package org.ebonyford.gateway.exchange;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

import org.ebonyford.gateway.log.LogLine;

/**
 * The lines on one request. They are written together when the request ends, all of them
 * if it failed and some of the plain successes, so that the volume stays bounded and a
 * failure is always told in full.
 */
final class RequestLog {

	/**
	 * The greatest number of lines on a request.
	 */
	private static final int MAX_LINES = 24;

	/**
	 * What the process knows.
	 */
	private final ExchangeContext context;

	/**
	 * The lines.
	 */
	private final List<LogLine> lines = new ArrayList<>(4);

	/**
	 * When each line was added, in milliseconds since the epoch.
	 */
	private final List<Long> times = new ArrayList<>(4);

	/**
	 * Whether something failed.
	 */
	private boolean failed;

	/**
	 * Whether nothing is told of the request.
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
	 * Adds a line, and composes it only if it is to be written.
	 * @param line composes the line
	 * @return this story
	 */
	RequestLog add(Supplier<LogLine> line) {
		return this.suppressed ? this : add(line.get());
	}

	/**
	 * Tells nothing of the request, as the log would drop the lines.
	 */
	void suppress() {
		this.suppressed = true;
		this.context.log().countDropped();
	}

	RequestLog markFailed() {
		this.failed = true;
		return this;
	}

	void write() {
		if (!this.failed && !this.context.sampleSuccess()) {
			return;
		}
		for (int index = 0; index < this.lines.size(); index++) {
			this.context.log().write(this.lines.get(index), this.times.get(index));
		}
	}

}
