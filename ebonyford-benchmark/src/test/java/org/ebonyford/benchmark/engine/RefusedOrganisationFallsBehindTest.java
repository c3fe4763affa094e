package org.ebonyford.benchmark.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToLongFunction;
import java.util.stream.IntStream;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Plays organisations that ask many times as often as others on six engines behind 6 to
 * 340 routers, and judges each window of six seconds as the platform does.
 */
public class RefusedOrganisationFallsBehindTest {

	private static final int[] ONE_INSISTENT = IntStream
		.concat(IntStream.generate(() -> 1).limit(80), IntStream.of(2, 2, 2, 3, 3, 4))
		.toArray();

	/**
	 * All ask for more than their share, one of them eight times as often as another.
	 */
	private static final int[] ALL_INSISTENT = IntStream.range(0, 75)
		.map((index) -> (index < 40) ? 1 : (index < 60) ? 2 : (index < 70) ? 3 : 4)
		.toArray();

	private static final long MILLIS = 20_000;

	private static final int WINDOW = 6;

	/**
	 * The tokens of the largest request.
	 */
	private static final long LARGEST = 12_000;

	@DataProvider
	public Object[][] fleets() {
		return fleets(6, 30, 86);
	}

	@DataProvider
	public Object[][] largestFleets() {
		return fleets(340);
	}

	private static Object[][] fleets(int... sizes) {
		List<Object[]> fleets = new ArrayList<>();
		for (int routers : sizes) {
			for (double stated : new double[] { 50_000, 400_000 }) {
				for (int[] organisations : new int[][] { ONE_INSISTENT, ALL_INSISTENT }) {
					for (long seed = 1; seed <= 3; seed++) {
						fleets.add(new Object[] { routers, stated, organisations, seed });
					}
				}
			}
		}
		return fleets.toArray(Object[][]::new);
	}

	@Test(dataProvider = "fleets")
	public void testRefusedOrganisationGetsHalfOfWhatTheBestOneGets(int routers, double stated, int[] organisations,
			long seed) {
		EngineFleet fleet = new EngineFleet(6, routers, Policy.ForProduct.INSTANCE, stated)
			.play(Request.draw(seed, MILLIS, 700, organisations, 100));
		assertEquals(unfairWindows(fleet, 4), List.of());
	}

	@Test(dataProvider = "largestFleets", groups = "known-red")
	public void testRefusedOrganisationGetsHalfOfWhatTheBestOneGetsInTheLargestFleet(int routers, double stated,
			int[] organisations, long seed) {
		testRefusedOrganisationGetsHalfOfWhatTheBestOneGets(routers, stated, organisations, seed);
	}

	/**
	 * Returns the windows in which an organisation that was refused in each second got
	 * less than half of what it asked, or of what the best one got if that is less: the
	 * best one of the window, and the best one of each second.
	 * @param fleet the fleet that was played
	 * @param organisations the number of organisations
	 * @return a line for each
	 */
	static List<String> unfairWindows(EngineFleet fleet, int organisations) {
		List<String> unfair = new ArrayList<>();
		for (int from = 4; from + WINDOW <= MILLIS / 1_000; from++) {
			for (int organisation = 1; organisation <= organisations; organisation++) {
				List<EngineFleet.Second> own = window(fleet, organisation, from);
				long owed = Math.max(owedOfWindow(fleet, organisations, own, from),
						owedBySecond(fleet, organisations, own, from));
				long taken = sum(own, EngineFleet.Second::taken);
				if (own.stream().allMatch((second) -> second.refused() > 0) && taken < (owed - 3 * LARGEST) / 2) {
					unfair
						.add("from second " + from + " organisation " + organisation + " got " + taken + " of " + owed);
				}
			}
		}
		return unfair;
	}

	private static long owedOfWindow(EngineFleet fleet, int organisations, List<EngineFleet.Second> own, int from) {
		long best = IntStream.rangeClosed(1, organisations)
			.mapToLong((other) -> sum(window(fleet, other, from), EngineFleet.Second::taken))
			.max()
			.orElse(0);
		return Math.min(sum(own, EngineFleet.Second::asked), best);
	}

	private static long owedBySecond(EngineFleet fleet, int organisations, List<EngineFleet.Second> own, int from) {
		return IntStream.range(0, WINDOW)
			.mapToLong((index) -> Math.min(own.get(index).asked(),
					IntStream.rangeClosed(1, organisations)
						.mapToLong((other) -> fleet.second(other, from + index).taken())
						.max()
						.orElse(0)))
			.sum();
	}

	private static List<EngineFleet.Second> window(EngineFleet fleet, int organisation, int from) {
		return IntStream.range(from, from + WINDOW).mapToObj((second) -> fleet.second(organisation, second)).toList();
	}

	private static long sum(List<EngineFleet.Second> seconds, ToLongFunction<EngineFleet.Second> count) {
		return seconds.stream().mapToLong(count).sum();
	}

}
