package org.ebonyford.retry;

import java.util.List;
import java.util.stream.IntStream;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class ColdUpstreamLimitTest {

	@Test
	public void testSumOverRoutersStaysWithinTheLimitAtAnySize() {
		for (int size = 1; size <= 340; size += 3) {
			List<String> routers = routers(size);
			int sum = routers.stream()
				.mapToInt((router) -> ColdUpstreamLimit.requestsPerSecond("engine", 29, router, routers))
				.sum();
			assertTrue(sum <= 29, sum + " requests a second from " + size + " routers");
			assertTrue(sum >= 10, "Only " + sum + " requests a second from " + size + " routers");
		}
	}

	@Test
	public void testFewRoutersShareEvenly() {
		List<String> routers = routers(6);
		routers
			.forEach((router) -> assertEquals(ColdUpstreamLimit.requestsPerSecond("engine", 29, router, routers), 3));
	}

	@Test
	public void testDifferentRoutersUseDifferentEngines() {
		List<String> routers = routers(86);
		long users = routers.stream()
			.filter((router) -> IntStream.range(0, 60)
				.anyMatch((engine) -> ColdUpstreamLimit.requestsPerSecond("engine" + engine, 29, router, routers) > 0))
			.count();
		assertTrue(users > 70, users + " of 86 routers use one of 60 cold engines");
	}

	private static List<String> routers(int size) {
		return IntStream.range(0, size).mapToObj((index) -> "10.0.0." + index + ":7400").toList();
	}

}
