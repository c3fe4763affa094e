package org.ebonyford.retry;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/**
 * Guards against upstreams that get more requests from all routers together than the
 * limit that they have announced. The routers want to send far more.
 */
public class UpstreamRateLimitTest {

	private static final long WINDOW_MILLIS = 4_000;

	private static final long PLAY_MILLIS = 150_000;

	private static final int STEP_MILLIS = 10;

	private static final long SEED = 1;

	@DataProvider
	public Object[][] plays() {
		List<Object[]> plays = new ArrayList<>();
		for (int routers : new int[] { 1, 6, 7, 61, 86, 95, 340 }) {
			for (double limit : new double[] { 0.5, 3, 13, 40 }) {
				plays.add(new Object[] { routers, limit, false });
				plays.add(new Object[] { routers, limit, true });
			}
		}
		return plays.toArray(new Object[0][]);
	}

	/**
	 * Each router sends whenever it may, or one in four sends nearly all requests.
	 */
	@Test(dataProvider = "plays")
	public void testUpstreamGetsNoMoreThanItsLimitInAnyWindow(int routers, double limit, boolean uneven) {
		Random random = new Random(SEED);
		List<String> names = names(routers);
		List<UpstreamRateLimit> limits = IntStream.range(0, routers)
			.mapToObj((index) -> new UpstreamRateLimit("u1", -index))
			.toList();
		Deque<Long> window = new ArrayDeque<>();
		long all = 0;
		for (long now = 0; now < PLAY_MILLIS; now += STEP_MILLIS) {
			for (int index = 0; index < routers; index++) {
				boolean wants = !uneven || index % 4 == 0 || random.nextInt(100) == 0;
				if (wants && limits.get(index).permits(limit, names.get(index), names, now)) {
					limits.get(index).recordRequest(now);
					window.addLast(now);
					all++;
				}
			}
			while (!window.isEmpty() && window.getFirst() <= now - WINDOW_MILLIS) {
				window.removeFirst();
			}
			assertTrue(window.size() <= 1.5 * limit * 4 + 5, window.size() + " requests in 4 s");
		}
		double possible = limit * PLAY_MILLIS / 1_000;
		assertTrue(uneven || all >= possible / 2, all + " requests of " + possible + " that it takes");
	}

	@Test
	public void testRequestsBeforeTheLimitCount() {
		List<String> names = names(2);
		UpstreamRateLimit limit = new UpstreamRateLimit("u1", 0);
		IntStream.range(0, 30).forEach((index) -> limit.recordRequest(1_000 + index));
		assertTrue(!limit.permits(10, names.get(0), names, 1_100));
		assertTrue(limit.permits(10, names.get(0), names, 5_200));
	}

	/**
	 * A router learns only from answers that an upstream has recovered.
	 */
	@Test
	public void testRouterWithoutAShareTriesTheUpstreamAgain() {
		List<String> names = names(86);
		for (String self : names) {
			UpstreamRateLimit limit = new UpstreamRateLimit("u1", 0);
			assertTrue(limit.permits(9, self, names, 200_000), self);
		}
	}

	private static List<String> names(int size) {
		List<String> names = new ArrayList<>();
		IntStream.range(0, size).forEach((index) -> names.add("10.0.0." + index + ":7400"));
		return Collections.unmodifiableList(names);
	}

}
