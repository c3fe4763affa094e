package org.ebonyford.router.evidence;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;

import org.ebonyford.evidence.EvidenceBatch;
import org.ebonyford.router.log.LogClient;

/**
 * Answers whether the promises were kept in a period and says where records are missing.
 *
 * @param from the wall-clock time in milliseconds at which the period begins
 * @param to the wall-clock time in milliseconds before which the period ends
 * @param gaps the parts of the period for which records are missing
 * @param promises what the records say about each promise
 */
public record EvidenceReport(long from, long to, List<Gap> gaps, List<Promise> promises) {

	/**
	 * Creates a report.
	 */
	public EvidenceReport {
		gaps = List.copyOf(gaps);
		promises = List.copyOf(promises);
	}

	/**
	 * Reads the evidence of a period and checks the promises against the usual bounds.
	 * @param client the client of the log service
	 * @param fromEpochMillis the wall-clock time in milliseconds at which the period
	 * begins
	 * @param toEpochMillis the wall-clock time in milliseconds before which it ends
	 * @return the report, or a failure if the log could not be read
	 */
	public static CompletableFuture<EvidenceReport> between(LogClient client, long fromEpochMillis,
			long toEpochMillis) {
		return between(client, fromEpochMillis, toEpochMillis, EvidenceBounds.DEFAULT);
	}

	/**
	 * Reads the evidence of a period and checks the promises.
	 * @param client the client of the log service
	 * @param fromEpochMillis the wall-clock time in milliseconds at which the period
	 * begins
	 * @param toEpochMillis the wall-clock time in milliseconds before which it ends
	 * @param bounds the bounds to check against
	 * @return the report, or a failure if the log could not be read
	 */
	public static CompletableFuture<EvidenceReport> between(LogClient client, long fromEpochMillis, long toEpochMillis,
			EvidenceBounds bounds) {
		Objects.requireNonNull(bounds, "bounds");
		return new EvidenceReader(client, fromEpochMillis, toEpochMillis).read()
			.thenApply((found) -> of(found, fromEpochMillis, toEpochMillis, bounds));
	}

	private static EvidenceReport of(EvidenceReader.Found found, long from, long to, EvidenceBounds bounds) {
		Map<List<Object>, EvidenceBatch> once = new LinkedHashMap<>();
		found.batches().forEach((batch) -> once.putIfAbsent(List.of(batch.router(), batch.sequence()), batch));
		Collection<EvidenceBatch> batches = once.values();
		EvidenceReader.Found distinct = new EvidenceReader.Found(List.copyOf(batches), found.unreadable(),
				found.keptSince());
		List<Gap> gaps = new Coverage(from, to).gaps(distinct);
		List<Promise> promises = new ArrayList<>();
		new PromiseChecks(batches, bounds, gaps.isEmpty()).run(promises::add);
		return new EvidenceReport(from, to, gaps, promises);
	}

}
