package org.ebonyford.lifecycle;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class ConnectionLimitsTest {

	@Test
	public void testCallersLeaveDescriptorsForUpstreams() {
		ConnectionLimits bounds = ConnectionLimits.of(4_100);
		assertEquals(bounds, new ConnectionLimits(2_460, 820));
	}

	@Test
	public void testSmallestProcessTakesACaller() {
		assertTrue(ConnectionLimits.of(1).maxOpen() > 0);
	}

}
