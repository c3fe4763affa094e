package org.ebonyford.lifecycle;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class ConnectionBoundsTest {

	@Test
	public void testCallersLeaveDescriptorsForUpstreams() {
		ConnectionBounds bounds = ConnectionBounds.of(4_100);
		assertEquals(bounds, new ConnectionBounds(2_460, 820));
	}

	@Test
	public void testSmallestProcessTakesACaller() {
		assertTrue(ConnectionBounds.of(1).open() > 0);
	}

}
