package org.ebonyford.benchmark.engine;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

/**
 * Measures on a model what callers get and how requests are spread if the pace of engines
 * changes, with and without engines that state it.
 */
public final class UnevenEngines {

	/**
	 * The numbers of routers.
	 */
	private static final int[] ROUTERS = { 6, 60, 340 };

	/**
	 * The number of engines.
	 */
	private static final int ENGINES = 60;

	/**
	 * The loads in requests a second.
	 */
	private static final int[] LOADS = { 700, 900 };

	/**
	 * The number of subjects that prompts share.
	 */
	private static final int SUBJECTS = 1_000;

	/**
	 * The length of a load in milliseconds.
	 */
	private static final long LENGTH_MILLIS = 8_000;

	/**
	 * The number of seeds if none is given.
	 */
	private static final int SEEDS = 3;

	private UnevenEngines() {
	}

	/**
	 * Prints a table.
	 * @param arguments the number of seeds and the numbers of routers, which may be left
	 * out
	 */
	public static void main(String[] arguments) {
		int seeds = (arguments.length > 0) ? Integer.parseInt(arguments[0]) : SEEDS;
		System.out.println("engines            routers   requests/s   on time   peak to mean");
		int[] chosen = Arrays.stream(arguments).skip(1).mapToInt(Integer::parseInt).toArray();
		for (int routers : (chosen.length > 0) ? chosen : ROUTERS) {
			for (int load : LOADS) {
				print("equal", routers, load, 0, 1, false, seeds);
				print("slow", routers, load, 0.15, 2.5, false, seeds);
				print("slow, stated", routers, load, 0.15, 2.5, true, seeds);
			}
			print("fast", routers, LOADS[0], 0.15, 0.4, false, seeds);
			print("fast, stated", routers, LOADS[0], 0.15, 0.4, true, seeds);
		}
	}

	private static void print(String name, int routers, int load, double part, double factor, boolean stated,
			int seeds) {
		List<EngineFleet> fleets = LongStream.rangeClosed(1, seeds)
			.parallel()
			.mapToObj((seed) -> new EngineFleet(ENGINES, routers, Policy.ForProductWithoutTransfer.INSTANCE, 0)
				.enginePaces(new EnginePaces(seed, part, factor, stated))
				.play(Request.draw(seed, LENGTH_MILLIS, load, IntStream.rangeClosed(1, 40).toArray(), SUBJECTS)))
			.toList();
		System.out.println(String.format(Locale.ROOT, "%-18s %7d %12d %9.4f %14.3f", name, routers, load,
				fleets.stream().mapToDouble(EngineFleet::onTime).average().orElse(0),
				fleets.stream().mapToDouble(EngineFleet::peakToMean).average().orElse(0)));
	}

}
