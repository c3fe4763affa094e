package org.ebonyford.directory;

import java.util.List;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class UpstreamDirectoryTest {

	private UpstreamDirectory directory;

	@BeforeMethod
	public void create() {
		this.directory = new UpstreamDirectory();
		this.directory.put(entry("a", false));
	}

	@Test
	public void testRemovedEntryIsGoneAtOnceWhileTheStoreAnswers() {
		assertEquals(this.directory.remove("a", 0).orElseThrow().id(), "a");
		assertTrue(this.directory.entries().isEmpty());
	}

	@Test
	public void testEntryThatLapsesWhileTheStoreIsAwayIsKept() {
		this.directory.storeAway();
		this.directory.storeBack(1_000);
		assertTrue(this.directory.remove("a", 1_100).isEmpty());
		assertTrue(this.directory.expire(2_900).isEmpty());
		assertEquals(this.directory.entries().size(), 1);
	}

	@Test
	public void testEntryThatIsNotRenewedIsGone() {
		this.directory.storeAway();
		this.directory.storeBack(1_000);
		this.directory.remove("a", 1_100);
		assertEquals(this.directory.expire(3_000).size(), 1);
		assertTrue(this.directory.entries().isEmpty());
	}

	@Test
	public void testRenewedEntryStays() {
		this.directory.storeAway();
		this.directory.storeBack(1_000);
		this.directory.remove("a", 1_100);
		this.directory.put(entry("a", false));
		assertTrue(this.directory.expire(9_000).isEmpty());
	}

	@Test
	public void testDrainingEntryDoesNotOutliveItsRemoval() {
		this.directory.put(entry("a", true));
		this.directory.storeAway();
		this.directory.storeBack(1_000);
		assertTrue(this.directory.remove("a", 1_100).isPresent());
	}

	@Test
	public void testRemovalIsFinalAgainLongAfterTheReturn() {
		this.directory.storeAway();
		this.directory.storeBack(1_000);
		assertTrue(this.directory.remove("a", 3_500).isPresent());
	}

	@Test
	public void testWholeListReplacesEntries() {
		this.directory.put(entry("b", false));
		assertEquals(this.directory.replaceAll(List.of(entry("b", false)), 0).get(0).id(), "a");
		assertEquals(this.directory.entries().size(), 1);
	}

	@Test
	public void testNewStartUnderTheOldNameIsAnotherStart() {
		UpstreamEntry again = new UpstreamEntry("a", "s", "10.0.0.1", 80, "dc", 4, false, 0, 7, "v1");
		assertTrue(!again.sameStart(entry("a", false)));
	}

	private static UpstreamEntry entry(String id, boolean draining) {
		return new UpstreamEntry(id, "s", "10.0.0.1", 80, "dc", 4, draining, 0, 5, "v1");
	}

}
