package org.ebonyford.gateway.exchange;

import org.testng.annotations.Test;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * The memory that answers share.
 */
public class AnswerMemoryTest {

	private static final int PART = 1 << 20;

	@Test
	public void testOneAnswerDoesNotTakeAll() {
		AnswerMemory memory = new AnswerMemory();
		int held = 0;
		while (memory.take(held, PART)) {
			held += PART;
		}
		assertTrue(held == 4 * PART, held + " bytes");
		assertTrue(memory.take(0, PART), "another answer finds room");
	}

	@Test
	public void testEndlessAnswersLeaveRoomForShortOnes() {
		AnswerMemory memory = fill();
		assertFalse(memory.take(0, PART));
		assertTrue(memory.take(0, 60_000), "a short answer is taken in any case");
		assertFalse(memory.take(60_000, 10_000));
	}

	@Test
	public void testMemoryThatIsGivenBackIsUsedAgain() {
		AnswerMemory memory = fill();
		memory.release(4 * PART);
		assertTrue(memory.take(0, PART));
	}

	private static AnswerMemory fill() {
		AnswerMemory memory = new AnswerMemory();
		for (int answer = 0; answer < 3; answer++) {
			for (int held = 0; held < 4 * PART; held += PART) {
				memory.take(held, PART);
			}
		}
		return memory;
	}

}
