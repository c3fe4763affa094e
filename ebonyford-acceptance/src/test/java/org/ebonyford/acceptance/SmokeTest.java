package org.ebonyford.acceptance;

import org.testng.annotations.Test;

import static org.testng.Assert.assertNotNull;

/**
 * Tests that the built programs are on the class path.
 */
public class SmokeTest {

	@Test
	public void testProgramsArePresent() {
		assertNotNull(org.ebonyford.router.Main.class);
		assertNotNull(org.ebonyford.emulator.Main.class);
	}

}
