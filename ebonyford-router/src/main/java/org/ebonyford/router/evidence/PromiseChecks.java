package org.ebonyford.router.evidence;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.ebonyford.claim.ClaimKey;
import org.ebonyford.evidence.EvidenceBatch;
import org.ebonyford.identity.DataCentreId;
import org.ebonyford.identity.OrganisationId;
import org.ebonyford.request.Outcome;
import org.ebonyford.router.evidence.Promise.Kind;
import org.ebonyford.router.evidence.Promise.Verdict;

/**
 * Checks the promises by batches of evidence.
 */
final class PromiseChecks {

	/**
	 * The milliseconds of a second.
	 */
	private static final long SECOND_MILLIS = 1_000;

	/**
	 * The batches, each once.
	 */
	private final Collection<EvidenceBatch> batches;

	/**
	 * The bounds to check against.
	 */
	private final EvidenceBounds bounds;

	/**
	 * Whether no records are missing.
	 */
	private final boolean whole;

	/**
	 * The work of all routers by organisation and second.
	 */
	private final Map<OrganisationId, SortedMap<Long, Work>> work = new TreeMap<>();

	/**
	 * Creates checks.
	 * @param batches the batches, each once
	 * @param bounds the bounds to check against
	 * @param whole whether no records are missing
	 */
	PromiseChecks(Collection<EvidenceBatch> batches, EvidenceBounds bounds, boolean whole) {
		this.batches = batches;
		this.bounds = bounds;
		this.whole = whole;
		rows(EvidenceBatch::seconds)
			.forEach((row) -> this.work.computeIfAbsent(row.organisation(), (name) -> new TreeMap<>())
				.merge(row.second(), new Work(row.service(), row.backlog(), Math.max(1, row.weight())), Work::plus));
	}

	/**
	 * Checks all promises.
	 * @param findings takes what was found about each promise
	 */
	void run(Consumer<Promise> findings) {
		findings.accept(judged(Kind.AT_MOST_ONCE, doubled()));
		findings.accept(judged(Kind.NO_STARVATION, starved()));
		findings.accept(fairness());
		findings.accept(judged(Kind.TAKE_OUT, sentAfterTakeOut()));
		findings.accept(judged(Kind.CONFIGURATION, lateOrReverted()));
	}

	private <T> Stream<T> rows(Function<EvidenceBatch, List<T>> part) {
		return this.batches.stream().map(part).flatMap(List::stream);
	}

	private Promise judged(Kind kind, List<String> violations) {
		Verdict clean = this.whole ? Verdict.KEPT : Verdict.RECORDS_MISSING;
		return new Promise(kind, violations.isEmpty() ? clean : Verdict.BROKEN, violations);
	}

	private List<String> doubled() {
		Map<ClaimKey, List<String>> runs = new HashMap<>();
		rows(EvidenceBatch::claims).filter((claim) -> claim.sent() && claim.outcome() != Outcome.NOT_RUN)
			.forEach((claim) -> runs.computeIfAbsent(claim.key(), (key) -> new ArrayList<>())
				.add(claim.request().value()));
		return runs.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().stream().distinct().count() > 1)
			.map((entry) -> "Key " + entry.getKey().key() + " of " + entry.getKey().organisation()
					+ " was sent by the requests " + entry.getValue())
			.sorted()
			.toList();
	}

	private List<String> starved() {
		List<String> violations = new ArrayList<>();
		this.work.forEach((organisation, seconds) -> {
			long run = 0;
			long previous = Long.MIN_VALUE;
			for (Map.Entry<Long, Work> entry : seconds.entrySet()) {
				boolean starving = entry.getValue().backlog() > 0 && entry.getValue().service() == 0;
				boolean goesOn = entry.getKey() == previous + 1;
				run = starving ? (goesOn ? run : 0) + 1 : 0;
				previous = entry.getKey();
				if (run == this.bounds.starvationSeconds()) {
					violations.add(organisation + " waited without service up to second " + entry.getKey());
				}
			}
		});
		return violations;
	}

	private Promise fairness() {
		double worst = 0;
		String pair = "no two organisations were backlogged together for " + this.bounds.fairnessSeconds() + " s";
		List<OrganisationId> names = this.work.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().values().stream().anyMatch((second) -> second.backlog() > 0))
			.map(Map.Entry::getKey)
			.toList();
		for (int first = 0; first < names.size(); first++) {
			for (int second = first + 1; second < names.size(); second++) {
				double gap = gap(this.work.get(names.get(first)), this.work.get(names.get(second)));
				if (gap > worst) {
					worst = gap;
					pair = "The service of " + names.get(first) + " and " + names.get(second) + " differed by "
							+ Math.round(gap) + " for each unit of weight within " + this.bounds.fairnessSeconds()
							+ " s";
				}
			}
		}
		if (this.bounds.fairnessGap().isEmpty()) {
			return new Promise(Kind.FAIRNESS, Verdict.MEASURED, List.of(pair));
		}
		boolean broken = worst > this.bounds.fairnessGap().getAsLong();
		return broken ? new Promise(Kind.FAIRNESS, Verdict.BROKEN, List.of(pair))
				: new Promise(Kind.FAIRNESS, this.whole ? Verdict.KEPT : Verdict.RECORDS_MISSING, List.of(pair));
	}

	private double gap(SortedMap<Long, Work> first, SortedMap<Long, Work> second) {
		double worst = 0;
		double sum = 0;
		List<Double> window = new ArrayList<>();
		long previous = Long.MIN_VALUE;
		for (Map.Entry<Long, Work> entry : first.entrySet()) {
			Work other = second.get(entry.getKey());
			boolean both = other != null && entry.getValue().backlog() > 0 && other.backlog() > 0;
			if (!both || entry.getKey() != previous + 1) {
				window.clear();
				sum = 0;
			}
			previous = entry.getKey();
			if (both) {
				window.add(entry.getValue().normal() - other.normal());
				sum += window.get(window.size() - 1);
				if (window.size() > this.bounds.fairnessSeconds()) {
					sum -= window.get(window.size() - 1 - this.bounds.fairnessSeconds());
				}
				worst = (window.size() >= this.bounds.fairnessSeconds()) ? Math.max(worst, Math.abs(sum)) : worst;
			}
		}
		return worst;
	}

	private List<String> sentAfterTakeOut() {
		SortedMap<Long, EvidenceBatch.Version> versions = new TreeMap<>();
		rows(EvidenceBatch::versions).forEach((row) -> versions.merge(row.version(), row,
				(known, other) -> (known.at() <= other.at()) ? known : other));
		List<String> violations = new ArrayList<>();
		rows(EvidenceBatch::sends).forEach((row) -> {
			if (outBefore(versions, row.dataCentre(), row.second() * SECOND_MILLIS)) {
				violations.add(row.count() + " requests were sent to " + row.dataCentre() + " in second " + row.second()
						+ " while it was out of service");
			}
		});
		return violations.stream().distinct().sorted().toList();
	}

	private boolean outBefore(SortedMap<Long, EvidenceBatch.Version> versions, DataCentreId dataCentre, long time) {
		long outSince = Long.MAX_VALUE;
		for (EvidenceBatch.Version version : versions.values()) {
			if (version.at() > time + SECOND_MILLIS) {
				break;
			}
			boolean out = version.dataCentresOut().contains(dataCentre);
			outSince = out ? Math.min(outSince, version.at()) : Long.MAX_VALUE;
		}
		return outSince != Long.MAX_VALUE && time >= outSince + this.bounds.takeOutSeconds() * SECOND_MILLIS;
	}

	private List<String> lateOrReverted() {
		List<String> violations = new ArrayList<>();
		Map<Long, List<Long>> times = new TreeMap<>();
		this.batches.stream().collect(Collectors.groupingBy(EvidenceBatch::router)).forEach((router, own) -> {
			List<EvidenceBatch.Version> rows = own.stream()
				.sorted(Comparator.comparingLong(EvidenceBatch::sequence))
				.map(EvidenceBatch::versions)
				.flatMap(List::stream)
				.toList();
			boolean started = own.stream().anyMatch((batch) -> batch.sequence() == 0);
			rows.stream()
				.skip(started ? 1 : 0)
				.forEach((row) -> times.computeIfAbsent(row.version(), (version) -> new ArrayList<>()).add(row.at()));
			for (int index = 1; index < rows.size(); index++) {
				if (rows.get(index).version() < rows.get(index - 1).version()) {
					violations.add(router.vm() + " went back from version " + rows.get(index - 1).version() + " to "
							+ rows.get(index).version());
				}
			}
		});
		times.forEach((version, list) -> {
			long spread = list.stream().max(Long::compare).get() - list.stream().min(Long::compare).get();
			if (spread > this.bounds.configurationMillis()) {
				violations.add("Version " + version + " took " + spread + " ms to be in force everywhere");
			}
		});
		return violations;
	}

	/**
	 * The work for one organisation in one second at all routers.
	 *
	 * @param service the cost of what was served
	 * @param backlog the requests that waited
	 * @param weight the weight of the organisation's plan
	 */
	private record Work(long service, int backlog, int weight) {

		private Work plus(Work other) {
			return new Work(this.service + other.service, this.backlog + other.backlog,
					Math.max(this.weight, other.weight));
		}

		private double normal() {
			return (double) this.service / this.weight;
		}

	}

}
