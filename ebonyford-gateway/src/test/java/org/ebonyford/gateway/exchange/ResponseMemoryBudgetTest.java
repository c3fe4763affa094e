package org.ebonyford.gateway.exchange;

import org.testng.annotations.Test;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * The memory that answers share.
 */
public class ResponseMemoryBudgetTest {

	private static final int PART_BYTES = 1 << 20;

	@Test
	public void testOneResponseCannotUseWholeBudget() {
		ResponseMemoryBudget budget = new ResponseMemoryBudget();
		int heldBytes = 0;
		while (budget.reserve(heldBytes, PART_BYTES)) {
			heldBytes += PART_BYTES;
		}
		assertTrue(heldBytes == 4 * PART_BYTES, heldBytes + " bytes");
		assertTrue(budget.reserve(0, PART_BYTES), "another answer finds room");
	}

	@Test
	public void testShortResponsesFitInExhaustedBudget() {
		ResponseMemoryBudget budget = exhaustedBudget();
		assertFalse(budget.reserve(0, PART_BYTES));
		assertTrue(budget.reserve(0, 60_000), "a short answer is taken in any case");
		assertFalse(budget.reserve(60_000, 10_000));
	}

	@Test
	public void testReleasedMemoryIsReused() {
		ResponseMemoryBudget budget = exhaustedBudget();
		budget.release(4 * PART_BYTES);
		assertTrue(budget.reserve(0, PART_BYTES));
	}

	private static ResponseMemoryBudget exhaustedBudget() {
		ResponseMemoryBudget budget = new ResponseMemoryBudget();
		for (int response = 0; response < 3; response++) {
			for (int heldBytes = 0; heldBytes < 4 * PART_BYTES; heldBytes += PART_BYTES) {
				budget.reserve(heldBytes, PART_BYTES);
			}
		}
		return budget;
	}

}
