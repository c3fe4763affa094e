package org.ebonyford.benchmark.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

import org.ebonyford.placement.PromptPart;
import org.ebonyford.placement.Work;

/**
 * A request of a load.
 *
 * @param at when it arrives, in milliseconds
 * @param router a number that chooses its router
 * @param organisation its organisation
 * @param work its work
 * @param targetMillis the latency target in milliseconds
 */
public record Request(long at, int router, int organisation, Work work, double targetMillis) {

	/**
	 * The number of routers among which a request's router is drawn, many times that of
	 * the largest fleet that is played.
	 */
	private static final int ROUTERS = 10_000;

	/**
	 * Draws requests whose prompts share a subject.
	 * @param seed the seed
	 * @param millis the length of the load in milliseconds
	 * @param perSecond the mean number of requests a second
	 * @param organisations the organisations, each as often as its part of the load
	 * @param subjects the number of subjects
	 * @return the requests in the order of their arrival
	 */
	public static List<Request> draw(long seed, long millis, double perSecond, int[] organisations, int subjects) {
		Random random = new Random(seed);
		List<Request> load = new ArrayList<>();
		double at = 0;
		while (at < millis) {
			at += -Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
			int own = (int) Math.min(400 + random.nextDouble() * 6_000, 6_000);
			load.add(draw(random, (long) at, own, organisations, subjects));
		}
		return load;
	}

	/**
	 * Draws requests whose prompts share a subject and are of very different lengths.
	 * @param seed the seed
	 * @param millis the length of the load in milliseconds
	 * @param perSecond the mean number of requests a second
	 * @param organisations the organisations, each as often as its part of the load
	 * @param subjects the number of subjects
	 * @return the requests in the order of their arrival
	 */
	public static List<Request> drawMixed(long seed, long millis, double perSecond, int[] organisations, int subjects) {
		Random random = new Random(seed);
		List<Request> load = new ArrayList<>();
		double at = 0;
		while (at < millis) {
			at += -Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
			int own = (int) Math.min(2_500 * Math.exp(1.4 * random.nextGaussian()), 54_000);
			load.add(draw(random, (long) at, Math.max(own, 1), organisations, subjects));
		}
		return load;
	}

	/**
	 * Draws requests of organisations whose callers each come to one router: those of the
	 * first one to the first router, and so on.
	 * @param seed the seed
	 * @param millis the length of the load in milliseconds
	 * @param perSecond the mean number of requests a second of each organisation
	 * @param subjects the number of subjects
	 * @return the requests in the order of their arrival
	 */
	public static List<Request> drawByOrganisation(long seed, long millis, double[] perSecond, int subjects) {
		List<Request> load = new ArrayList<>();
		for (int index = 0; index < perSecond.length; index++) {
			int router = index;
			draw(seed * perSecond.length + index, millis, perSecond[index], new int[] { index + 1 }, subjects)
				.forEach((request) -> load
					.add(new Request(request.at, router, request.organisation, request.work, request.targetMillis)));
		}
		load.sort(Comparator.comparingLong(Request::at));
		return load;
	}

	private static Request draw(Random random, long at, int own, int[] organisations, int subjects) {
		int subject = random.nextInt(subjects);
		Work work = Work.of(List.of(new PromptPart(subject % 3, 500), new PromptPart(100 + subject, 4_900),
				new PromptPart(random.nextLong(), own)), 5_400 + own, 200 + random.nextInt(200));
		return new Request(at, random.nextInt(ROUTERS), organisations[random.nextInt(organisations.length)], work, 600);
	}

}
