package org.ebonyford.emulator.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;

import org.HdrHistogram.Histogram;

/**
 * The judgements on the answers of one load.
 *
 * @param verdicts the judgements in the order in which they were made
 */
public record Report(List<Verdict> verdicts) {

	/**
	 * The nanoseconds in a microsecond.
	 */
	private static final long NANOS_PER_MICRO = 1_000L;

	/**
	 * The number of significant digits of latencies.
	 */
	private static final int DIGITS = 3;

	/**
	 * Creates a report.
	 */
	public Report {
		verdicts = List.copyOf(verdicts);
	}

	/**
	 * Returns how many answers were judged in some way.
	 * @param result the judgement
	 * @return the number of answers
	 */
	public long count(Verdict.Result result) {
		return this.verdicts.stream().filter((verdict) -> verdict.result() == result).count();
	}

	/**
	 * Returns the refusals by their reasons.
	 * @return the number of refusals of each reason and outcome
	 */
	public Map<String, Long> refusals() {
		return this.verdicts.stream()
			.filter((verdict) -> verdict.result() == Verdict.Result.REFUSED)
			.collect(Collectors.groupingBy((verdict) -> verdict.reason() + "/" + verdict.outcome(), TreeMap::new,
					Collectors.counting()));
	}

	/**
	 * Returns the answers that break a promise by themselves.
	 * @return the judgements
	 */
	public List<Verdict> violations() {
		return this.verdicts.stream().filter((verdict) -> verdict.result().violation()).toList();
	}

	/**
	 * Returns the latencies of whole answers.
	 * @param kind the kind of the requests
	 * @param nanos picks the latency
	 * @return the histogram in microseconds
	 */
	public Histogram latencies(Predicate<Verdict> kind, ToLongFunction<Verdict> nanos) {
		Histogram histogram = new Histogram(DIGITS);
		this.verdicts.stream()
			.filter(Verdict::completed)
			.filter(kind)
			.forEach((verdict) -> histogram.recordValue(nanos.applyAsLong(verdict) / NANOS_PER_MICRO));
		return histogram;
	}

	/**
	 * Returns the longest time in which no answer was completed.
	 * @param from the begin of the time to look at, in milliseconds since the epoch
	 * @param until the end of the time to look at, in milliseconds since the epoch
	 * @return the milliseconds
	 */
	public long longestSilence(long from, long until) {
		List<Long> ends = new ArrayList<>(this.verdicts.stream()
			.filter(Verdict::completed)
			.map((verdict) -> verdict.startedAt() + verdict.totalNanos() / (NANOS_PER_MICRO * 1_000L))
			.filter((end) -> end > from && end < until)
			.sorted(Comparator.naturalOrder())
			.toList());
		ends.add(until);
		long longest = 0;
		long last = from;
		for (long end : ends) {
			longest = Math.max(longest, end - last);
			last = end;
		}
		return longest;
	}

	/**
	 * Describes the report on one line.
	 * @return the counts
	 */
	public String summary() {
		return String.format("sent %d, completed %d, refused %s, broken %d, violations %d", this.verdicts.size(),
				count(Verdict.Result.COMPLETED), refusals(), count(Verdict.Result.BROKEN), violations().size());
	}

}
