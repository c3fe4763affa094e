package org.ebonyford.benchmark.engine;

import org.ebonyford.directory.Rendezvous;

/**
 * How long work takes on the engines' machines, which are shared with other work: a part
 * of the engines, drawn anew after a period, takes a multiple of the usual time.
 *
 * @param seed the seed of the draws
 * @param part the part of the engines whose pace is not the usual one, from 0 to 1
 * @param factor the multiple of the usual time that work takes there
 * @param reported whether engines state their pace in the head of an answer
 */
public record EnginePaces(long seed, double part, double factor, boolean reported) {

	/**
	 * Engines that always work at the usual pace and do not state it.
	 */
	public static final EnginePaces USUAL = new EnginePaces(0, 0, 1, false);

	/**
	 * The time in milliseconds after which the pace of an engine is drawn anew.
	 */
	private static final long PERIOD_MILLIS = 600;

	/**
	 * The time in milliseconds by which engines differ in when their pace is drawn.
	 */
	private static final long STAGGER_MILLIS = 37;

	/**
	 * The number of equally likely draws.
	 */
	private static final int DRAWS = 10_000;

	double factor(int engine, double at) {
		long draw = Rendezvous.weight(Rendezvous.hash(this.seed + " " + engine), period(engine, at));
		return (Math.floorMod(draw, DRAWS) < this.part * DRAWS) ? this.factor : 1;
	}

	/**
	 * Returns when an engine ends some work.
	 * @param engine the number of the engine
	 * @param from when it begins, in milliseconds
	 * @param millis the time in milliseconds that the work takes at the usual pace
	 * @return the time in milliseconds
	 */
	double end(int engine, double from, double millis) {
		double at = from;
		double left = millis;
		while (this.part > 0) {
			double factor = factor(engine, at);
			double change = (period(engine, at) + 1) * PERIOD_MILLIS - engine * STAGGER_MILLIS;
			if (at + left * factor <= change) {
				return at + left * factor;
			}
			left -= (change - at) / factor;
			at = change;
		}
		return at + left;
	}

	private static long period(int engine, double at) {
		return (long) Math.floor((at + engine * STAGGER_MILLIS) / PERIOD_MILLIS);
	}

}
