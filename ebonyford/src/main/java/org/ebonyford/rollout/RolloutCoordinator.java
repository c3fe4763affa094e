package org.ebonyford.rollout;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.ebonyford.rollout.RolloutJudge.Opinion;
import org.ebonyford.rollout.RolloutJudge.Verdict;

/**
 * Decides the next step of a roll-out from what a coordinator knows. All that must
 * outlive the coordinator is in the progress; any gateway can continue from it. The load
 * is one decision for each service with a roll-out every 200 ms, with a report of each of
 * up to 340 gateways.
 */
public final class RolloutCoordinator {

	/**
	 * The part of new requests that goes to the target while it is shifting. Both sides
	 * then get the same load, so that faults under load show, and half of the prompts are
	 * prefilled again at once. A second shift would be one more step at which a
	 * coordinator may be lost.
	 */
	private static final double SHIFTING_SHARE = 0.5;

	/**
	 * The time in milliseconds for which a step is observed before the next one, also if
	 * the time limit is near: two reports of each gateway, of which a third are lost.
	 */
	private static final long MIN_STEP_MILLIS = 400L;

	/**
	 * The time in milliseconds that gateways have at least to learn that other versions
	 * get no new requests. Feeds of the store are read within half of it.
	 */
	private static final long MIN_RETIRING_MILLIS = 1_000L;

	/**
	 * The time in milliseconds added to that for which a gateway without a view of the
	 * store uses the other versions, for the different ages of views.
	 */
	private static final long SILENCE_MARGIN_MILLIS = 1_000L;

	/**
	 * The time in milliseconds after which a gateway counts as silent near the time
	 * limit: seven reports of which a third are lost.
	 */
	private static final long SILENT_MILLIS = 1_500L;

	/**
	 * The logarithm of the ratio against the target from which on a step is put off while
	 * there is time, as the next one exposes more requests, or leaves no version to
	 * compare with. Of a sound version it is rarely above this except in a fault that all
	 * share.
	 */
	private static final double CLEAR_LOG_RATIO = -3;

	/**
	 * The operator's limits.
	 */
	private final RolloutSettings settings;

	/**
	 * The test of the target.
	 */
	private final RolloutJudge judge = new RolloutJudge();

	/**
	 * The evidence that was reported.
	 */
	private final ReportedEvidence reported = new ReportedEvidence();

	/**
	 * The time since the order.
	 */
	private final RolloutAge age = new RolloutAge();

	/**
	 * The newest step that was seen.
	 */
	private long seenStep = -1;

	/**
	 * When the newest step was first seen.
	 */
	private long seenAtMillis;

	/**
	 * Creates a coordinator for an order.
	 * @param settings the operator's limits
	 */
	public RolloutCoordinator(RolloutSettings settings) {
		this.settings = settings;
	}

	/**
	 * Notes that the order appeared while the process followed the operator's records.
	 * Its time is then measured with the process's own clock.
	 * @param nowMillis the current time of the process
	 */
	public void appeared(long nowMillis) {
		this.age.atLeast(0, nowMillis);
	}

	/**
	 * Returns the time since the order for the gateway's own reports.
	 * @param nowMillis the current time of the process
	 * @return the time in milliseconds, negative if it is not known
	 */
	public long orderAgeMillis(long nowMillis) {
		return this.age.measuredMillis(nowMillis).orElse(-1);
	}

	/**
	 * Notes that the gateway has read progress of the order. Each gateway notes it, so
	 * that one that becomes the coordinator knows how long the step has been known.
	 * @param progress the progress
	 * @param nowMillis the current time of the process
	 */
	public void read(RolloutProgress progress, long nowMillis) {
		if (progress.step() != this.seenStep) {
			this.seenStep = progress.step();
			this.seenAtMillis = nowMillis;
		}
	}

	/**
	 * Decides the next step. It is called also while the store cannot be reached, so that
	 * a verdict is ready when it comes back. A gateway that gets reports as the next
	 * coordinator decides, too, and follows {@link Step#forNext()}. The status may be
	 * written only once the progress that it belongs to has been read back from the store
	 * or its write was acknowledged.
	 * @param situation what the coordinator knows
	 * @return the step
	 */
	public Step decide(Situation situation) {
		situation.reports()
			.stream()
			.filter((report) -> report.revision() == situation.order().revision() && report.orderAgeMillis() >= 0)
			.forEach((report) -> noteAge(report, situation.nowMillis()));
		if (situation.saved().isEmpty()) {
			long elapsed = this.age.measuredMillis(situation.nowMillis()).orElse(0);
			RolloutProgress begun = RolloutProgress.begun(situation.order(), this.settings.canaryShare(),
					situation.wallMillis() - elapsed);
			return new Step(Optional.of(begun), Optional.empty());
		}
		RolloutProgress saved = situation.saved().get();
		read(saved, situation.nowMillis());
		Optional<RolloutProgress> next = saved.phase().terminal() ? Optional.empty() : next(saved, situation);
		return new Step(next, Optional.of(RolloutStatus.of(saved.phase())));
	}

	private void noteAge(RolloutReport report, long nowMillis) {
		this.age.atLeast(report.orderAgeMillis(), nowMillis);
	}

	private Optional<RolloutProgress> next(RolloutProgress saved, Situation situation) {
		RolloutEvidence evidence = this.reported.add(situation.reports(), situation.order(), saved.phase(),
				situation.nowMillis());
		Opinion opinion = this.judge.look(evidence, saved.phase());
		if (opinion.verdict() == Verdict.BAD) {
			return rolledBack(saved, "the target is worse", opinion);
		}
		RolloutSchedule schedule = RolloutSchedule.of(situation.order().durationMillis());
		long elapsed = this.age.millis(saved, situation.nowMillis(), situation.wallMillis());
		if (opinion.logRatio() > 0 && elapsed >= schedule.doubtMillis()) {
			return rolledBack(saved, "the evidence is against the target at the time limit", opinion);
		}
		if (opinion.doubtful()) {
			return Optional.empty();
		}
		if (!situation.targetRegistered()) {
			return (elapsed >= schedule.endMillis())
					? rolledBack(saved, "no upstream of the target at the time limit", opinion) : Optional.empty();
		}
		return switch (saved.phase()) {
			case CANARY -> afterCanary(saved, elapsed, schedule, opinion);
			case SHIFTING -> afterShifting(saved, elapsed, schedule, opinion, situation);
			case RETIRING -> afterRetiring(saved, elapsed, schedule, opinion, situation);
			case COMPLETED, ROLLED_BACK -> Optional.empty();
		};
	}

	private Optional<RolloutProgress> afterCanary(RolloutProgress saved, long elapsed, RolloutSchedule schedule,
			Opinion opinion) {
		boolean clear = opinion.logRatio() <= CLEAR_LOG_RATIO || elapsed >= schedule.retireMillis();
		if (!clear || elapsed < schedule.shiftMillis()) {
			return Optional.empty();
		}
		if (elapsed > schedule.lastShiftMillis()) {
			return rolledBack(saved, "requests could not move before the time limit", opinion);
		}
		return step(saved, RolloutPhase.SHIFTING, SHIFTING_SHARE, "not found worse", opinion);
	}

	private Optional<RolloutProgress> afterShifting(RolloutProgress saved, long elapsed, RolloutSchedule schedule,
			Opinion opinion, Situation situation) {
		if (elapsed >= schedule.durationMillis()) {
			return rolledBack(saved, "requests did not move before the time limit", opinion);
		}
		boolean clear = opinion.logRatio() <= CLEAR_LOG_RATIO || elapsed >= schedule.doubtMillis();
		boolean due = clear && elapsed >= schedule.retireMillis()
				&& situation.nowMillis() - this.seenAtMillis >= MIN_STEP_MILLIS;
		return due ? step(saved, RolloutPhase.RETIRING, 1, "not found worse", opinion) : Optional.empty();
	}

	private Optional<RolloutProgress> afterRetiring(RolloutProgress saved, long elapsed, RolloutSchedule schedule,
			Opinion opinion, Situation situation) {
		if (situation.nowMillis() - this.seenAtMillis < MIN_STEP_MILLIS) {
			return Optional.empty();
		}
		long silence = (elapsed >= schedule.silentMillis()) ? SILENT_MILLIS
				: this.settings.othersViewLimitMillis() + SILENCE_MARGIN_MILLIS;
		if (allLeftOthers(saved, situation, silence)) {
			return step(saved, RolloutPhase.COMPLETED, 1, "no request is open at other versions", opinion);
		}
		boolean known = situation.nowMillis() - this.seenAtMillis >= MIN_RETIRING_MILLIS;
		boolean forced = elapsed >= (known ? schedule.endMillis() : schedule.knownMillis());
		return forced ? step(saved, RolloutPhase.COMPLETED, 1, "the time limit is near", opinion) : Optional.empty();
	}

	/**
	 * Returns whether each gateway has left the other versions: it says so, or it has
	 * been silent for longer than a gateway without a view of the store uses them. At
	 * least half of the gateways have to say so, since a coordinator that is cut off from
	 * its peers but not from the store takes all others for silent.
	 * @param saved the progress
	 * @param situation what the coordinator knows
	 * @param silence the time in milliseconds
	 * @return {@code true} if no gateway uses the other versions
	 */
	private boolean allLeftOthers(RolloutProgress saved, Situation situation, long silence) {
		Map<String, RolloutReport> latest = new HashMap<>();
		for (RolloutReport report : situation.reports()) {
			if (report.revision() == saved.order().revision()) {
				latest.merge(report.gateway(), report,
						(first, second) -> (first.start() > second.start()) ? first : second);
			}
		}
		long left = situation.lastHeard()
			.keySet()
			.stream()
			.filter((gateway) -> hasLeft(latest, gateway, saved))
			.count();
		return left * 2 >= situation.lastHeard().size() && situation.lastHeard()
			.entrySet()
			.stream()
			.allMatch((heard) -> hasLeft(latest, heard.getKey(), saved)
					|| situation.nowMillis() - heard.getValue() > silence);
	}

	private static boolean hasLeft(Map<String, RolloutReport> latest, String gateway, RolloutProgress saved) {
		RolloutReport report = latest.get(gateway);
		return report != null && report.step() >= saved.step() && report.openElsewhere() == 0;
	}

	private static Optional<RolloutProgress> rolledBack(RolloutProgress saved, String reason, Opinion opinion) {
		return step(saved, RolloutPhase.ROLLED_BACK, 0, reason, opinion);
	}

	private static Optional<RolloutProgress> step(RolloutProgress saved, RolloutPhase phase, double share,
			String reason, Opinion opinion) {
		return Optional.of(saved.next(phase, share, reason + ": " + opinion.evidence()));
	}

	/**
	 * What a coordinator knows.
	 *
	 * @param order the order in force
	 * @param saved the newest progress of this order that was read from the store
	 * @param reports the latest report of each start of each gateway, with the
	 * coordinator's own. A later start of a gateway has a greater number. Each report
	 * that arrives is an object of its own.
	 * @param lastHeard the gateways that may be alive and the time in milliseconds at
	 * which each was last heard, on the same clock as {@code nowMillis}, with the
	 * coordinator itself
	 * @param targetRegistered whether an upstream of the target is registered
	 * @param nowMillis the current time of the process
	 * @param wallMillis the current Unix time in milliseconds
	 */
	public record Situation(RolloutOrder order, Optional<RolloutProgress> saved, Collection<RolloutReport> reports,
			Map<String, Long> lastHeard, boolean targetRegistered, long nowMillis, long wallMillis) {
	}

	/**
	 * What a coordinator is to write.
	 *
	 * @param next the progress to save, on condition that the saved one is still the
	 * newest; empty if nothing changes
	 * @param status the status that belongs to the saved progress, empty if none is saved
	 */
	public record Step(Optional<RolloutProgress> next, Optional<RolloutStatus> status) {

		/**
		 * Returns what the next coordinator writes: a roll-back, as a coordinator that
		 * has just started has less evidence, and a terminal status that is missing.
		 * @return the step without anything else
		 */
		public Step forNext() {
			return new Step(this.next.filter((progress) -> progress.phase() == RolloutPhase.ROLLED_BACK),
					this.status.filter((known) -> known != RolloutStatus.RUNNING));
		}

	}

}
