package org.ebonyford.router.evidence;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

import org.ebonyford.evidence.EvidenceBatch;
import org.ebonyford.identity.VmId;

/**
 * Finds the parts of a period for which records are missing.
 */
final class Coverage {

	/**
	 * Stands for all routers in a gap.
	 */
	private static final String ALL = "all";

	/**
	 * The wall-clock time in milliseconds at which the period begins.
	 */
	private final long from;

	/**
	 * The wall-clock time in milliseconds before which the period ends.
	 */
	private final long to;

	/**
	 * The gaps found so far.
	 */
	private final List<Gap> gaps = new ArrayList<>();

	/**
	 * Creates a search.
	 * @param from the wall-clock time in milliseconds at which the period begins
	 * @param to the wall-clock time in milliseconds before which the period ends
	 */
	Coverage(long from, long to) {
		this.from = from;
		this.to = to;
	}

	/**
	 * Finds the gaps.
	 * @param found what was read, each batch once
	 * @return the gaps
	 */
	List<Gap> gaps(EvidenceReader.Found found) {
		found.keptSince()
			.filter((since) -> since > this.from)
			.ifPresent((since) -> add(ALL, this.from, since, "the log keeps no older records"));
		if (found.unreadable() > 0) {
			add(ALL, this.from, this.to, found.unreadable() + " records have an unknown form");
		}
		if (found.batches().isEmpty()) {
			add(ALL, this.from, this.to, "there are no records");
		}
		Map<VmId, List<EvidenceBatch>> byVm = new TreeMap<>();
		found.batches()
			.forEach((batch) -> byVm.computeIfAbsent(batch.router().vm(), (vm) -> new ArrayList<>()).add(batch));
		byVm.forEach(this::check);
		TreeSet<VmId> silent = new TreeSet<>();
		found.batches().forEach((batch) -> silent.addAll(batch.members()));
		silent.removeAll(byVm.keySet());
		silent.forEach((vm) -> add(vm.value(), this.from, this.to, "the VM was listed and shows no records"));
		return List.copyOf(this.gaps);
	}

	private void check(VmId vm, List<EvidenceBatch> batches) {
		batches.sort(Comparator.comparingLong(EvidenceBatch::from));
		EvidenceBatch first = batches.get(0);
		if (first.sequence() > 0 && first.from() > this.from) {
			add(vm.value(), this.from, first.from(), "earlier records are missing");
		}
		long covered = first.to();
		boolean stopped = first.last();
		for (EvidenceBatch batch : batches.subList(1, batches.size())) {
			if (batch.from() > covered && !stopped) {
				add(vm.value(), covered, batch.from(), "the router's process ended or its records were lost");
			}
			stopped = (batch.to() >= covered) ? batch.last() : stopped;
			covered = Math.max(covered, batch.to());
		}
		if (covered < this.to && !stopped) {
			add(vm.value(), covered, this.to, "the router's process ended, or its records are not there yet");
		}
	}

	private void add(String router, long start, long end, String cause) {
		this.gaps.add(new Gap(router, Math.max(start, this.from), Math.min(end, this.to), cause));
	}

}
