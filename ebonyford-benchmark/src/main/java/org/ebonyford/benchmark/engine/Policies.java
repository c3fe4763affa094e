package org.ebonyford.benchmark.engine;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

/**
 * Compares policies of placing and refusing on a model of engines, at several loads and
 * with several seeds, within one process.
 */
public final class Policies {

	/**
	 * The policies by name.
	 */
	private static final Map<String, Policy> POLICIES = policies();

	/**
	 * The loads in requests a second. Six engines of the model read some 75 prompts a
	 * second if they keep nothing, and about twice as many if they keep all shared parts.
	 */
	private static final int[] LOADS = { 25, 50, 75, 100, 125, 150 };

	/**
	 * The number of organisations.
	 */
	private static final int ORGANISATIONS = 8;

	/**
	 * The part of the requests, out of as many as there are organisations and this
	 * number, that comes from the first organisation.
	 */
	private static final int LARGE = 8;

	/**
	 * The number of subjects that prompts share.
	 */
	private static final int SUBJECTS = 100;

	/**
	 * The number of engines and of routers.
	 */
	private static final int SIZE = 6;

	/**
	 * The length of a load in milliseconds.
	 */
	private static final long LENGTH_MILLIS = 20_000;

	/**
	 * The number of seeds if none is given.
	 */
	private static final int SEEDS = 5;

	private Policies() {
	}

	/**
	 * Prints a table, and draws a plot.
	 * @param arguments the number of seeds, and the file that takes the plot in SVG; both
	 * may be left out
	 */
	public static void main(String[] arguments) {
		int seeds = (arguments.length > 0) ? Integer.parseInt(arguments[0]) : SEEDS;
		System.out
			.println("policy             requests/s   on time   least organisation begun   1,000 tokens read again");
		Map<String, double[]> curves = new LinkedHashMap<>();
		POLICIES.forEach((name, policy) -> curves.put(name, compare(name, policy, seeds)));
		if (arguments.length > 1) {
			write(Path.of(arguments[1]), Plot.svg("part of the requests on time", LOADS, curves));
		}
	}

	private static double[] compare(String name, Policy policy, int seeds) {
		double[] curve = new double[LOADS.length];
		for (int index = 0; index < LOADS.length; index++) {
			int load = LOADS[index];
			List<EngineFleet> fleets = LongStream.rangeClosed(1, seeds)
				.mapToObj((seed) -> play(policy, load, seed))
				.toList();
			curve[index] = fleets.stream().mapToDouble(EngineFleet::onTime).average().orElse(0);
			double least = fleets.stream().mapToDouble(Policies::least).average().orElse(0);
			double again = fleets.stream().mapToLong(EngineFleet::rereadTokens).average().orElse(0);
			System.out.println(String.format(Locale.ROOT, "%-16s %12d %9.3f %26.3f %25.0f", name, load, curve[index],
					least, again / 1_000));
		}
		return curve;
	}

	private static EngineFleet play(Policy policy, int load, long seed) {
		int[] organisations = IntStream
			.concat(IntStream.rangeClosed(1, ORGANISATIONS), IntStream.generate(() -> 1).limit(LARGE))
			.toArray();
		return new EngineFleet(SIZE, SIZE, policy, 0)
			.play(Request.draw(seed, LENGTH_MILLIS, load, organisations, SUBJECTS));
	}

	private static double least(EngineFleet fleet) {
		return IntStream.rangeClosed(2, ORGANISATIONS)
			.mapToDouble((organisation) -> (double) fleet.outcome(organisation).begun()
					/ Math.max(fleet.outcome(organisation).asked(), 1))
			.min()
			.orElse(0);
	}

	private static Map<String, Policy> policies() {
		Map<String, Policy> policies = new LinkedHashMap<>();
		policies.put("product", Policy.ForProduct.INSTANCE);
		policies.put("no transfer", Policy.ForProductWithoutTransfer.INSTANCE);
		policies.put("soonest", Policy.ForSoonest.INSTANCE);
		policies.put("fewest requests", Policy.ForFewestRequests.INSTANCE);
		policies.put("oracle", Policy.ForOracle.INSTANCE);
		return policies;
	}

	private static void write(Path file, String text) {
		try {
			Files.writeString(file, text);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
