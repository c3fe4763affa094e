package org.ebonyford.emulator.load;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.ebonyford.emulator.truth.Ledger;
import org.ebonyford.emulator.truth.Run;
import org.ebonyford.emulator.truth.Truth;

/**
 * Compares what callers were told with what really ran.
 *
 * @param falseNotRun the requests that ran although their callers were told that they did
 * not
 * @param repeatedKeys the idempotency keys that ran more than once
 * @param lostCompletions the requests without an idempotency key that completed for their
 * callers although they never ran
 * @param falls the times that an upstream fell over under too much work
 */
public record Audit(List<String> falseNotRun, List<String> repeatedKeys, List<String> lostCompletions, long falls) {

	/**
	 * Creates an audit.
	 */
	public Audit {
		falseNotRun = List.copyOf(falseNotRun);
		repeatedKeys = List.copyOf(repeatedKeys);
		lostCompletions = List.copyOf(lostCompletions);
	}

	/**
	 * Audits a load.
	 * @param verdicts what callers made of their answers
	 * @param truths the detailed truths of all upstreams
	 * @return the audit
	 */
	public static Audit of(Collection<Verdict> verdicts, Collection<Truth> truths) {
		List<Run> runs = new ArrayList<>();
		truths.forEach((truth) -> runs.addAll(truth.runs()));
		Map<String, Long> byRequest = runs.stream()
			.collect(Collectors.groupingBy(Run::requestId, Collectors.counting()));
		List<String> falseNotRun = verdicts.stream()
			.filter(Verdict::saysNotRun)
			.map(Verdict::requestId)
			.filter((id) -> !id.isEmpty() && byRequest.containsKey(id))
			.toList();
		List<String> lost = verdicts.stream()
			.filter((verdict) -> verdict.completed() && verdict.spec().key().isEmpty())
			.map(Verdict::requestId)
			.filter((id) -> !byRequest.containsKey(id))
			.toList();
		long falls = truths.stream().mapToLong(Truth::falls).sum();
		return new Audit(falseNotRun, Ledger.repeated(runs, Run::key), lost, falls);
	}

	/**
	 * Returns how often some key ran.
	 * @param truths the detailed truths of all upstreams
	 * @param key picks the name of a run
	 * @param value the name to count
	 * @return the number of runs
	 */
	public static long runs(Collection<Truth> truths, Function<Run, String> key, String value) {
		return truths.stream()
			.flatMap((truth) -> truth.runs().stream())
			.filter((run) -> key.apply(run).equals(value))
			.count();
	}

	/**
	 * Returns whether every promise that the audit looks at was kept.
	 * @return {@code true} if nothing is wrong
	 */
	public boolean clean() {
		return this.falseNotRun.isEmpty() && this.repeatedKeys.isEmpty() && this.lostCompletions.isEmpty()
				&& this.falls == 0;
	}

}
