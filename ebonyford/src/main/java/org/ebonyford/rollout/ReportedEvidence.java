package org.ebonyford.rollout;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

import org.ebonyford.rollout.RolloutEvidence.Counts;
import org.ebonyford.rollout.RolloutEvidence.Outcomes;

/**
 * Adds up what gateways report, so that the sums never fall and the parts that are added
 * belong to the time since the last report. While requests move, only short times count:
 * with a share that has risen meanwhile, sums over a longer one would hold a fault that
 * both versions share against the target. So a coordinator that takes over then ignores
 * what each gateway saw before.
 */
final class ReportedEvidence {

	/**
	 * The longest time in milliseconds between two reports of a gateway for which the
	 * answers between them count while requests move. Of seven reports all are lost in
	 * one case of two thousand if a third is lost.
	 */
	private static final long MAX_GAP_MILLIS = 1_500L;

	/**
	 * The last report of each start of each gateway.
	 */
	private final Map<Reporter, Arrival> last = new HashMap<>();

	/**
	 * The sums.
	 */
	private final Map<Integer, Outcomes> sums = new HashMap<>();

	/**
	 * Adds reports. One that was there at the last call, as the same object, has not
	 * arrived again.
	 * @param reports the latest report of each start of each gateway
	 * @param order the order in force
	 * @param phase the phase of the roll-out
	 * @param nowMillis the current time
	 * @return the sums
	 */
	RolloutEvidence add(Collection<RolloutReport> reports, RolloutOrder order, RolloutPhase phase, long nowMillis) {
		for (RolloutReport report : reports) {
			if (report.revision() == order.revision()) {
				add(report, phase, nowMillis);
			}
		}
		return new RolloutEvidence(this.sums);
	}

	private void add(RolloutReport report, RolloutPhase phase, long nowMillis) {
		Reporter reporter = new Reporter(report.gateway(), report.start());
		Arrival before = this.last.get(reporter);
		if (before != null && before.report() == report) {
			return;
		}
		this.last.put(reporter, new Arrival(report, nowMillis));
		boolean recent = before != null && nowMillis - before.atMillis() <= MAX_GAP_MILLIS;
		if (recent || phase == RolloutPhase.CANARY) {
			addSince(report.evidence(), (before != null) ? before.report().evidence() : RolloutEvidence.NONE);
		}
	}

	private void addSince(RolloutEvidence now, RolloutEvidence before) {
		now.routes().forEach((route, outcomes) -> {
			Outcomes counted = before.routes().getOrDefault(route, Outcomes.NONE);
			this.sums.merge(route, new Outcomes(increase(outcomes.target(), counted.target()),
					increase(outcomes.others(), counted.others())), Outcomes::plus);
		});
	}

	/**
	 * Returns how much counts have grown. An older report that arrives late adds nothing.
	 * @param now the counts
	 * @param before the counts that were added before
	 * @return the difference
	 */
	private static Counts increase(Counts now, Counts before) {
		if (now.answers() <= before.answers()) {
			return Counts.NONE;
		}
		return new Counts(now.answers() - before.answers(), Math.max(0, now.failures() - before.failures()),
				Math.max(0, now.slow() - before.slow()));
	}

	/**
	 * A start of a gateway.
	 *
	 * @param gateway the name of the gateway
	 * @param start identifies the start
	 */
	private record Reporter(String gateway, long start) {
	}

	/**
	 * A report and when it arrived.
	 *
	 * @param report the report
	 * @param atMillis the time
	 */
	private record Arrival(RolloutReport report, long atMillis) {
	}

}
