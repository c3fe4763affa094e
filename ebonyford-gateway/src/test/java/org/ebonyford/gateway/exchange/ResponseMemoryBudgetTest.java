package org.ebonyford.gateway.exchange;

import org.testng.annotations.Test;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * The memory that answers share.
 */
public class ResponseMemoryBudgetTest {

	private static final int PART = 1 << 20;

	@Test
	public void testOneResponseCannotUseWholeBudget() {
		ResponseMemoryBudget memory = new ResponseMemoryBudget();
		int held = 0;
		while (memory.reserve(held, PART)) {
			held += PART;
		}
		assertTrue(held == 4 * PART, held + " bytes");
		assertTrue(memory.reserve(0, PART), "another answer finds room");
	}

	@Test
	public void testShortResponsesFitInExhaustedBudget() {
		ResponseMemoryBudget memory = exhaustedBudget();
		assertFalse(memory.reserve(0, PART));
		assertTrue(memory.reserve(0, 60_000), "a short answer is taken in any case");
		assertFalse(memory.reserve(60_000, 10_000));
	}

	@Test
	public void testReleasedMemoryIsReused() {
		ResponseMemoryBudget memory = exhaustedBudget();
		memory.release(4 * PART);
		assertTrue(memory.reserve(0, PART));
	}

	private static ResponseMemoryBudget exhaustedBudget() {
		ResponseMemoryBudget memory = new ResponseMemoryBudget();
		for (int response = 0; response < 3; response++) {
			for (int held = 0; held < 4 * PART; held += PART) {
				memory.reserve(held, PART);
			}
		}
		return memory;
	}

}
