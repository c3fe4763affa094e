package org.ebonyford.directory;

import java.util.ArrayList;
import java.util.List;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class RendezvousTest {

	@Test
	public void testOrderDoesNotDependOnTheOrderOfNames() {
		assertEquals(Rendezvous.order("key", List.of("a", "b", "c")), Rendezvous.order("key", List.of("c", "a", "b")));
	}

	@Test
	public void testNameThatLeavesMovesNoOther() {
		List<String> names = List.of("a", "b", "c", "d", "e");
		for (int key = 0; key < 100; key++) {
			List<String> before = new ArrayList<>(Rendezvous.order("k" + key, names));
			before.remove("c");
			assertEquals(Rendezvous.order("k" + key, List.of("a", "b", "d", "e")), before);
		}
	}

	@Test
	public void testKeysAreSpreadEvenly() {
		List<String> names = List.of("a", "b", "c", "d");
		int[] first = new int[4];
		for (int key = 0; key < 4_000; key++) {
			first[names.indexOf(Rendezvous.order("k" + key, names).get(0))]++;
		}
		for (int count : first) {
			assertTrue(count > 850 && count < 1_150, "one of four names is first for " + count + " of 4000 keys");
		}
	}

}
