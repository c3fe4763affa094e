package org.ebonyford.directory;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class ReportIntervalTest {

	@DataProvider
	public Object[][] sizes() {
		return new Object[][] { { 1 }, { 7 }, { 59 }, { 95 }, { 340 } };
	}

	@Test(dataProvider = "sizes")
	public void testReportCountsUntilTheSecondAfterItIsOverdue(int routers) {
		assertTrue(ReportInterval.validMillis(routers) > 2 * ReportInterval.millis(routers));
	}

	@Test(dataProvider = "sizes")
	public void testReportsSentInASecondDoNotGrowWithTheSquare(int routers) {
		assertTrue(routers * 1_000.0 / ReportInterval.millis(routers) <= 100);
	}

	@Test
	public void testFewRoutersReportOften() {
		assertEquals(ReportInterval.millis(7), 200);
		assertEquals(ReportInterval.validMillis(7), 2_000);
	}

}
