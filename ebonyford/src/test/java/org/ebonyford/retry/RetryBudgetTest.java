package org.ebonyford.retry;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class RetryBudgetTest {

	private static final double RATIO = 0.2;

	private static final double EXTRA = 52;

	private static final long WINDOW = 10_000;

	@Test
	public void testRoutersTogetherStayWithinTheLimitWhileTheyCannotReachEachOther() {
		int routers = 6;
		int requests = 100;
		long sent = IntStream.range(0, routers).mapToLong((router) -> {
			RetryBudget budget = new RetryBudget(RATIO, EXTRA, WINDOW, -WINDOW);
			IntStream.range(0, requests).forEach((request) -> budget.recordRequest("s", request));
			return IntStream.range(0, 1_000).filter((repeat) -> budget.tryAcquire("s", routers, 200 + repeat)).count();
		}).sum();
		assertTrue(sent <= RATIO * requests * routers + EXTRA, sent + " repeats");
		assertTrue(sent > EXTRA, "The ratio's part is used: " + sent);
	}

	@Test
	public void testRoutersThatAreKilledAndStartAgainStayWithinTheLimit() {
		int routers = 7;
		int perSecond = 28;
		List<RetryBudget> budgets = new ArrayList<>();
		IntStream.range(0, routers).forEach((router) -> budgets.add(new RetryBudget(RATIO, EXTRA, WINDOW, 0)));
		SlidingWindowCounter repeats = new SlidingWindowCounter(WINDOW, 1);
		for (int second = 0; second < 40; second++) {
			if (second == 19 || second == 23) {
				long startedAt = second * 1_000L;
				IntStream.range(0, 4)
					.forEach((router) -> budgets.set(router, new RetryBudget(RATIO, EXTRA, WINDOW, startedAt)));
			}
			for (int request = 0; request < perSecond * routers; request++) {
				long now = second * 1_000L + request * 1_000L / (perSecond * routers);
				RetryBudget budget = budgets.get(request % routers);
				budget.recordRequest("s", now);
				if (second >= 16 && budget.tryAcquire("s", routers, now)) {
					repeats.add(1, now);
				}
				double limit = RATIO * perSecond * routers * WINDOW / 1_000 + EXTRA;
				assertTrue(repeats.sum(now) <= limit, repeats.sum(now) + " repeats in the window before " + now);
			}
		}
		assertTrue(repeats.sum(40_000) > EXTRA, "Repeats are allowed again");
	}

	@Test
	public void testWindowSlides() {
		RetryBudget budget = new RetryBudget(0, 10, WINDOW, -WINDOW);
		assertTrue(budget.tryAcquire("s", 1, 0));
		while (budget.tryAcquire("s", 1, 100)) {
			assertFalse(budget.tryAcquire("s", 100, 100), "A share of one hundredth is nothing");
		}
		assertFalse(budget.tryAcquire("s", 1, 9_900));
		assertTrue(budget.tryAcquire("s", 1, 10_400));
	}

	@Test
	public void testServicesHaveBudgetsOfTheirOwn() {
		RetryBudget budget = new RetryBudget(0, 2, WINDOW, -WINDOW);
		assertTrue(budget.tryAcquire("a", 1, 0));
		assertFalse(budget.tryAcquire("a", 1, 0));
		assertTrue(budget.tryAcquire("b", 1, 0));
	}

	@Test
	public void testCountForgetsWhatLiesBeforeTheSpan() {
		SlidingWindowCounter count = new SlidingWindowCounter(1_000, 20);
		count.add(3, 0);
		count.add(4, 500);
		assertEquals(count.sum(900), 7);
		assertEquals(count.sum(1_100), 4);
		assertEquals(count.sum(1_600), 0);
	}

}
