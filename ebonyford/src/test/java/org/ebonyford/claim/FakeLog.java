package org.ebonyford.claim;

import java.util.ArrayList;
import java.util.List;

import org.ebonyford.event.Event;

/**
 * A claims stream in memory that keeps records for a limited time.
 */
final class FakeLog {

	private final List<Stored> records = new ArrayList<>();

	private final long retention;

	private long first;

	boolean reachable = true;

	FakeLog(long retention) {
		this.retention = retention;
	}

	void append(long time, List<ClaimRecord> statements) {
		this.records.add(new Stored(time, statements));
	}

	void trim(long time) {
		while (this.first < this.records.size() && this.records.get((int) this.first).time() < time - this.retention) {
			this.first++;
		}
	}

	long end() {
		return this.records.size();
	}

	Event.ClaimsRead read(long at, long from, int limit) {
		long start = Math.max(from, this.first);
		long next = Math.min(this.records.size(), start + limit);
		List<ClaimRecord> statements = this.records.subList((int) start, (int) next)
			.stream()
			.flatMap((record) -> record.statements().stream())
			.toList();
		return new Event.ClaimsRead(at, this.first, next, this.records.size(), statements);
	}

	private record Stored(long time, List<ClaimRecord> statements) {

	}

}
