package org.ebonyford.router.peer;

import java.util.Arrays;
import java.util.Random;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests {@link FrameHistory}.
 */
public class FrameHistoryTest {

	private static final int SEED = 31;

	@Test
	public void testLastBytesAreKept() {
		Random random = new Random(SEED);
		FrameHistory history = new FrameHistory();
		byte[] all = {};
		for (int round = 0; round < 200; round++) {
			byte[] latest = new byte[random.nextInt(20_000) >> random.nextInt(10)];
			random.nextBytes(latest);
			history.add(latest);
			all = joined(all, latest);
			byte[] kept = history.bytes();
			assertEquals(kept, Arrays.copyOfRange(all, all.length - kept.length, all.length), "seed " + SEED);
		}
	}

	@Test
	public void testNumberOfBytesIsBounded() {
		FrameHistory history = new FrameHistory();
		history.add(new byte[100_000]);
		int bound = history.bytes().length;
		history.add(new byte[100]);
		assertTrue(bound < 100_000, "kept " + bound);
		assertEquals(history.bytes().length, bound);
	}

	private static byte[] joined(byte[] first, byte[] second) {
		byte[] joined = Arrays.copyOf(first, first.length + second.length);
		System.arraycopy(second, 0, joined, first.length, second.length);
		return joined;
	}

}
