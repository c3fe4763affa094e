package org.ebonyford.retry;

import java.util.stream.IntStream;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class RetryBudgetTest {

	private static final double RATIO = 0.2;

	private static final double EXTRA = 52;

	@Test
	public void testRoutersTogetherStayWithinTheLimitWhileTheyCannotReachEachOther() {
		int routers = 6;
		int requests = 100;
		long sent = IntStream.range(0, routers).mapToLong((router) -> {
			RetryBudget budget = new RetryBudget(RATIO, EXTRA, 10_000);
			IntStream.range(0, requests).forEach((request) -> budget.requested("s", request));
			return IntStream.range(0, 1_000).filter((repeat) -> budget.take("s", routers, 200 + repeat)).count();
		}).sum();
		assertTrue(sent <= RATIO * requests * routers + EXTRA, sent + " repeats");
		assertTrue(sent > EXTRA, "The ratio's part is used: " + sent);
	}

	@Test
	public void testWindowSlides() {
		RetryBudget budget = new RetryBudget(0, 10, 10_000);
		assertTrue(budget.take("s", 1, 0));
		while (budget.take("s", 1, 100)) {
			assertFalse(budget.take("s", 100, 100), "A share of one hundredth is nothing");
		}
		assertFalse(budget.take("s", 1, 9_900));
		assertTrue(budget.take("s", 1, 10_400));
	}

	@Test
	public void testServicesHaveBudgetsOfTheirOwn() {
		RetryBudget budget = new RetryBudget(0, 2, 10_000);
		assertTrue(budget.take("a", 1, 0));
		assertFalse(budget.take("a", 1, 0));
		assertTrue(budget.take("b", 1, 0));
	}

	@Test
	public void testCountForgetsWhatLiesBeforeTheSpan() {
		SlidingCount count = new SlidingCount(1_000, 20);
		count.add(3, 0);
		count.add(4, 500);
		assertEquals(count.sum(900), 7);
		assertEquals(count.sum(1_100), 4);
		assertEquals(count.sum(1_600), 0);
	}

}
