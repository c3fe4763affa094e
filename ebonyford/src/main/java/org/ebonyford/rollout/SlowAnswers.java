package org.ebonyford.rollout;

import java.util.HashMap;
import java.util.Map;

/**
 * Tells at one gateway which answers are slow in comparison with those that the other
 * versions gave at the same time on the same route. Answers of both sides are classified
 * by the same limit, so a limit that is off shifts both proportions and does not count
 * against a version. The load is one call for each answer of the service during a
 * roll-out.
 */
public final class SlowAnswers {

	/**
	 * How many times the usual time an answer takes at least to be slow. Bad versions
	 * answer several times slower; a version whose caches are still cold answers up to
	 * twice as slowly.
	 */
	private static final double MIN_FACTOR = 2.5;

	/**
	 * How many standard deviations (of the logarithm) above the mean an answer is slow.
	 * Routes whose times vary by more than their size explains need more than the factor.
	 */
	private static final double MIN_DEVIATIONS = 1.5;

	/**
	 * The time constant in milliseconds with which earlier answers lose their weight. A
	 * burst of load slows down all versions for seconds.
	 */
	private static final double MEMORY_MILLIS = 5_000;

	/**
	 * The weight of answers that a comparison needs.
	 */
	private static final double MIN_ANSWERS = 5;

	/**
	 * The recent answers of the other versions by route.
	 */
	private final Map<Integer, Recent> routes = new HashMap<>();

	/**
	 * The recent answers of the other versions on all routes.
	 */
	private final Recent all = new Recent();

	/**
	 * Classifies an answer and takes it into account for later ones.
	 * @param route the hash of the route's name
	 * @param target whether the target answered
	 * @param elapsedMillis the time to the first byte of the answer
	 * @param expectedMillis the time that the request is expected to take by its size,
	 * for example by the tokens that the upstream has to prefill; 1 if this is unknown, 0
	 * if the answer is not comparable, as the upstream is cold
	 * @param nowMillis the current time
	 * @return whether the answer is slow
	 */
	public boolean slow(int route, boolean target, double elapsedMillis, double expectedMillis, long nowMillis) {
		if (!(expectedMillis > 0) || !(elapsedMillis >= 0)) {
			return false;
		}
		double sample = Math.log(Math.max(1, elapsedMillis) / expectedMillis);
		Recent recent = this.routes.computeIfAbsent(route, (key) -> new Recent());
		recent.age(nowMillis);
		this.all.age(nowMillis);
		boolean slow = (recent.weight >= MIN_ANSWERS) ? recent.exceededBy(sample) : this.all.exceededBy(sample);
		if (!target) {
			recent.add(sample);
			this.all.add(sample);
		}
		return slow;
	}

	/**
	 * Sums over logarithms of times, weighted by their age.
	 */
	private static final class Recent {

		/**
		 * The sum of weights.
		 */
		private double weight;

		/**
		 * The weighted sum of samples.
		 */
		private double sum;

		/**
		 * The weighted sum of squares of samples.
		 */
		private double squares;

		/**
		 * When the weights were last reduced.
		 */
		private long agedAtMillis;

		private void age(long nowMillis) {
			double factor = Math.exp(-Math.max(0, nowMillis - this.agedAtMillis) / MEMORY_MILLIS);
			this.weight *= factor;
			this.sum *= factor;
			this.squares *= factor;
			this.agedAtMillis = nowMillis;
		}

		private void add(double sample) {
			this.weight++;
			this.sum += sample;
			this.squares += sample * sample;
		}

		private boolean exceededBy(double sample) {
			if (this.weight < MIN_ANSWERS) {
				return false;
			}
			double mean = this.sum / this.weight;
			double deviation = Math.sqrt(Math.max(0, this.squares / this.weight - mean * mean));
			return sample > mean + Math.max(Math.log(MIN_FACTOR), MIN_DEVIATIONS * deviation);
		}

	}

}
