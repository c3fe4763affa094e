package org.ebonyford.rollout;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

import org.ebonyford.rollout.RolloutEvidence.Counts;
import org.ebonyford.rollout.RolloutEvidence.Outcomes;

/**
 * Compares the target of a roll-out with the other versions, in all and by route. The
 * test may be evaluated at any time and any number of times without raising the
 * probability of a wrong verdict.
 * <p>
 * It is a sequential likelihood ratio test. The null hypothesis is that the target's part
 * of failed (or slow) answers is at most that of the other versions in the same time,
 * plus a tolerance. The parts are compared between one look and the next, as a fault that
 * both share would otherwise be held against a target whose share has just risen;
 * alternatives are mixed with fixed weights. A version may turn bad later, so the ratio
 * is also computed from later starts, whose weights sum up to at most 1. By Ville's
 * inequality the weighted sum of ratios exceeds 1/a with a probability of at most a,
 * however often it is looked at. The load is one look each 200 ms over the sums of all
 * gateways.
 */
public final class RolloutJudge {

	/**
	 * The logarithm of the ratio for a verdict: a sound version is found bad in at most
	 * one of a thousand roll-outs.
	 */
	private static final double BAD_LOG_RATIO = Math.log(1_000);

	/**
	 * The logarithm of the ratio from which on the evidence is against the target.
	 */
	private static final double DOUBTFUL_LOG_RATIO = Math.log(30);

	/**
	 * The logarithm of the ratio in favour of a target that is not worse.
	 */
	private static final double SOUND_LOG_RATIO = Math.log(20);

	/**
	 * The parts of answers that turn bad in the alternatives.
	 */
	private static final double[] ALTERNATIVES = { 0.02, 0.05, 0.1, 0.25, 0.6 };

	/**
	 * The part of answers that turns bad in the alternative against which soundness is
	 * shown.
	 */
	private static final double SOUND_ALTERNATIVE = 0.05;

	/**
	 * The target's answers between two starts of the test. A version that turns bad
	 * between two starts is found this many answers later at most.
	 */
	private static final long START_ANSWERS = 16;

	/**
	 * The maximum number of later starts that are kept.
	 */
	private static final int MAX_STARTS = 64;

	/**
	 * The number of answers for which the long-term parts count in an estimate from the
	 * answers between two looks. With 30, a fault that both versions share was
	 * underestimated by a fifth at 100 answers a look.
	 */
	private static final double PRIOR_ANSWERS = 3;

	/**
	 * The start of the test over the whole time.
	 */
	private static final Start ORIGIN = new Start(RolloutEvidence.NONE, Map.of(), Math.log(2));

	/**
	 * The latest starts of the test.
	 */
	private final Deque<Start> starts = new ArrayDeque<>();

	/**
	 * The bad answers that the target may have had so far, by route.
	 */
	private final Map<Integer, Allowed> allowed = new HashMap<>();

	/**
	 * The evidence at the last look.
	 */
	private RolloutEvidence last = RolloutEvidence.NONE;

	/**
	 * The result of the last look.
	 */
	private Opinion opinion = new Opinion(Verdict.UNDECIDED, false, Double.NEGATIVE_INFINITY,
			"no answers of the target");

	/**
	 * The target's answers at the last start.
	 */
	private long startedAtAnswers;

	/**
	 * The number of starts so far.
	 */
	private long startCount;

	/**
	 * Looks at the sums of all gateways' evidence.
	 * @param evidence the cumulative outcomes, none of them less than at the last look
	 * @param phase the phase of the roll-out
	 * @return what the evidence says
	 */
	public Opinion look(RolloutEvidence evidence, RolloutPhase phase) {
		if (evidence.equals(this.last)) {
			return this.opinion;
		}
		allow(evidence, Tolerance.of(phase));
		this.last = evidence;
		this.opinion = evaluate(evidence);
		long answers = evidence.total().target().answers();
		if (answers - this.startedAtAnswers >= START_ANSWERS) {
			this.startedAtAnswers = answers;
			this.startCount++;
			this.starts.addLast(new Start(evidence, Map.copyOf(this.allowed),
					Math.log((this.startCount + 1.0) * (this.startCount + 2.0))));
			if (this.starts.size() > MAX_STARTS) {
				this.starts.removeFirst();
			}
		}
		return this.opinion;
	}

	private void allow(RolloutEvidence evidence, Tolerance tolerance) {
		Counts others = evidence.total().others();
		Counts recent = minus(others, this.last.total().others());
		double failing = part(recent.failures(), recent.answers(), part(others.failures(), others.answers(), 0));
		double slowing = part(recent.slow(), recent.answers(), part(others.slow(), others.answers(), 0));
		evidence.routes().forEach((route, outcomes) -> {
			Outcomes since = minus(outcomes, this.last.routes().getOrDefault(route, Outcomes.NONE));
			double failingHere = failing * routeFactor(outcomes.others().failures(), others.failures(),
					outcomes.others().answers(), others.answers());
			double slowingHere = slowing * routeFactor(outcomes.others().slow(), others.slow(),
					outcomes.others().answers(), others.answers());
			this.allowed.merge(route, tolerance.allowed(since.target().answers(), failingHere, slowingHere),
					Allowed::plus);
		});
	}

	private static double part(double bad, double answers, double prior) {
		return (bad + prior * PRIOR_ANSWERS) / Math.max(1, answers + PRIOR_ANSWERS);
	}

	/**
	 * Returns how many times more often answers are bad on a route than on all. It is
	 * estimated over the whole time, as a route has few answers between two looks.
	 * @param bad the bad answers on the route
	 * @param allBad the bad answers on all routes
	 * @param answers the answers on the route
	 * @param allAnswers the answers on all routes
	 * @return the factor, near 1 as long as there are few answers
	 */
	private static double routeFactor(double bad, double allBad, double answers, double allAnswers) {
		double expected = allBad * answers / Math.max(1, allAnswers);
		return (bad + 2) / (expected + 2);
	}

	private Opinion evaluate(RolloutEvidence evidence) {
		if (evidence.total().target().answers() == 0) {
			return new Opinion(Verdict.UNDECIDED, false, Double.NEGATIVE_INFINITY, "no answers of the target");
		}
		Worst worst = new Worst();
		consider(worst, evidence, ORIGIN);
		this.starts.forEach((start) -> consider(worst, evidence, start));
		String text = worst.text(evidence);
		if (worst.logSum() >= BAD_LOG_RATIO) {
			return new Opinion(Verdict.BAD, true, worst.logSum(), text);
		}
		boolean doubtful = worst.logSum() >= DOUBTFUL_LOG_RATIO;
		boolean sound = !doubtful && sound(evidence.total());
		return new Opinion(sound ? Verdict.SOUND : Verdict.UNDECIDED, doubtful, worst.logSum(), text);
	}

	private void consider(Worst worst, RolloutEvidence evidence, Start start) {
		Outcomes total = Outcomes.NONE;
		Allowed totalAllowed = Allowed.NONE;
		double logRoutes = Math.log(4.0 * evidence.routes().size()) + start.logWeight();
		for (Map.Entry<Integer, Outcomes> entry : evidence.routes().entrySet()) {
			Integer route = entry.getKey();
			Outcomes since = minus(entry.getValue(), start.evidence().routes().getOrDefault(route, Outcomes.NONE));
			Allowed allowedSince = this.allowed.get(route).minus(start.allowed().getOrDefault(route, Allowed.NONE));
			total = total.plus(since);
			totalAllowed = totalAllowed.plus(allowedSince);
			worst.consider(since, allowedSince, logRoutes, "route " + route);
		}
		worst.consider(total, totalAllowed, Math.log(4) + start.logWeight(), "all routes");
	}

	private static Outcomes minus(Outcomes now, Outcomes before) {
		return new Outcomes(minus(now.target(), before.target()), minus(now.others(), before.others()));
	}

	private static Counts minus(Counts now, Counts before) {
		return new Counts(now.answers() - before.answers(), now.failures() - before.failures(),
				now.slow() - before.slow());
	}

	private static boolean sound(Outcomes total) {
		Counts target = total.target();
		double reference = Math.min(0.9, (total.others().bad() + 1.0) / (total.others().answers() + 2.0));
		double worse = reference + (1 - reference) * SOUND_ALTERNATIVE;
		return logRatio(target.bad(), target.answers(), worse, reference) <= -SOUND_LOG_RATIO;
	}

	private static double logRatio(double bad, double answers, double alternative, double limit) {
		return bad * Math.log(alternative / limit)
				+ Math.max(0, answers - bad) * Math.log((1 - alternative) / (1 - limit));
	}

	/**
	 * What the evidence says of a target.
	 */
	public enum Verdict {

		/**
		 * The evidence does not suffice.
		 */
		UNDECIDED,

		/**
		 * The target is not worse than the other versions.
		 */
		SOUND,

		/**
		 * The target is worse than the other versions.
		 */
		BAD

	}

	/**
	 * A verdict and what it is based on.
	 *
	 * @param verdict the verdict
	 * @param doubtful whether the evidence is against the target although it does not
	 * suffice for a verdict
	 * @param logRatio the logarithm of the likelihood ratio against the target
	 * @param evidence the counts and the result of the test as text for operators
	 */
	public record Opinion(Verdict verdict, boolean doubtful, double logRatio, String evidence) {
	}

	/**
	 * How much worse than the other versions a target may be.
	 *
	 * @param failureFactor the factor on the other versions' part of failures
	 * @param failures the part of failures that is added
	 * @param slowFactor the factor on the other versions' part of slow answers
	 * @param slow the part of slow answers that is added
	 */
	private record Tolerance(double failureFactor, double failures, double slowFactor, double slow) {

		/**
		 * In the canary phase both sides serve under the same conditions, except that the
		 * target's caches are colder.
		 */
		private static final Tolerance CANARY = new Tolerance(1.2, 0.005, 1.5, 0.04);

		/**
		 * While requests move, their prompts are prefilled again at the target.
		 */
		private static final Tolerance SHIFTING = new Tolerance(1.2, 0.005, 2.5, 0.25);

		/**
		 * When all requests are at the target, no other version answers at the same time,
		 * and a fault that both would share cannot be told from one of the version.
		 */
		private static final Tolerance RETIRING = new Tolerance(2, 0.3, 2, 0.5);

		private static Tolerance of(RolloutPhase phase) {
			return switch (phase) {
				case CANARY -> CANARY;
				case SHIFTING -> SHIFTING;
				case RETIRING, COMPLETED, ROLLED_BACK -> RETIRING;
			};
		}

		private Allowed allowed(long answers, double failing, double slowing) {
			return new Allowed(answers * failing, answers * (this.failureFactor * failing + this.failures),
					answers * slowing, answers * (this.slowFactor * slowing + this.slow));
		}

	}

	/**
	 * A start of the test.
	 *
	 * @param evidence the evidence before it
	 * @param allowed the bad answers that the target may have had before it
	 * @param logWeight the logarithm of the inverse of its weight
	 */
	private record Start(RolloutEvidence evidence, Map<Integer, Allowed> allowed, double logWeight) {
	}

	/**
	 * The bad answers that the target may have.
	 *
	 * @param expectedFailures the failures that another version would have had
	 * @param failures the failures with the tolerance
	 * @param expectedSlow the slow answers that another version would have had
	 * @param slow the slow answers with the tolerance
	 */
	private record Allowed(double expectedFailures, double failures, double expectedSlow, double slow) {

		private static final Allowed NONE = new Allowed(0, 0, 0, 0);

		private Allowed plus(Allowed other) {
			return new Allowed(this.expectedFailures + other.expectedFailures, this.failures + other.failures,
					this.expectedSlow + other.expectedSlow, this.slow + other.slow);
		}

		private Allowed minus(Allowed other) {
			return new Allowed(this.expectedFailures - other.expectedFailures, this.failures - other.failures,
					this.expectedSlow - other.expectedSlow, this.slow - other.slow);
		}

	}

	/**
	 * The sum of weighted ratios, and the comparison that contributes most.
	 */
	private static final class Worst {

		/**
		 * The weighted sum of ratios.
		 */
		private double sum;

		/**
		 * The greatest weighted logarithm of a ratio.
		 */
		private double greatest = Double.NEGATIVE_INFINITY;

		/**
		 * The comparison with the greatest ratio.
		 */
		private String comparison = "";

		private void consider(Outcomes since, Allowed allowed, double logWeight, String where) {
			Counts target = since.target();
			if (target.answers() <= 0) {
				return;
			}
			double sides = Math.min(1, target.answers() / Math.max(1.0, since.others().answers()));
			add(target.failures(), target.answers(), allowed.failures() + deviations(allowed.expectedFailures(), sides),
					logWeight, "failed " + where);
			add(target.slow(), target.answers(), allowed.slow() + deviations(allowed.expectedSlow(), sides), logWeight,
					"slow " + where);
		}

		/**
		 * Returns two standard deviations of the expected number, which is an estimate
		 * from the other versions' answers.
		 * @param expected the expected number
		 * @param sides the target's answers for each of the other versions'
		 * @return the margin
		 */
		private static double deviations(double expected, double sides) {
			return 2 * Math.sqrt(Math.max(0, expected) * sides);
		}

		private void add(long bad, long answers, double limit, double logWeight, String what) {
			double logRatio = mixture(bad, answers, limit / answers) - logWeight;
			this.sum += Math.exp(Math.min(600, logRatio));
			if (logRatio > this.greatest) {
				this.greatest = logRatio;
				this.comparison = String.format(Locale.ROOT, " (%s: %d of %d, %.1f allowed)", what, bad, answers,
						limit);
			}
		}

		private static double mixture(double bad, double answers, double limit) {
			if (limit >= 1 || bad <= limit * answers) {
				return Double.NEGATIVE_INFINITY;
			}
			double sum = 0;
			for (double part : ALTERNATIVES) {
				sum += Math.exp(Math.min(600, logRatio(bad, answers, limit + (1 - limit) * part, limit)));
			}
			return Math.log(sum / ALTERNATIVES.length);
		}

		private double logSum() {
			return Math.log(this.sum);
		}

		private String text(RolloutEvidence evidence) {
			Outcomes total = evidence.total();
			return String.format(Locale.ROOT,
					"target %d answers %d failed %d slow; others %d answers %d failed %d slow; log ratio %.1f%s",
					total.target().answers(), total.target().failures(), total.target().slow(),
					total.others().answers(), total.others().failures(), total.others().slow(), logSum(),
					this.comparison);
		}

	}

}
