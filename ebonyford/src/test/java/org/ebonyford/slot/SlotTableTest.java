package org.ebonyford.slot;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.ebonyford.identity.GrantId;
import org.ebonyford.identity.Incarnation;
import org.ebonyford.identity.OrganisationId;
import org.ebonyford.identity.VmId;

import static org.testng.Assert.assertEquals;

/**
 * Tests {@link SlotTable}.
 */
public class SlotTableTest {

	private static final VmId ENTRY = new VmId("vm-1");

	private static final int LIMIT = 4;

	private SlotTable table;

	@BeforeMethod
	public void create() {
		this.table = new SlotTable(1_000);
		this.table.take(0, 100, 1);
		this.table.take(2, 100, 1);
	}

	@Test
	public void testMovedSlotIsUnusedUntilALaterReportExplainsAll() {
		this.table.tick(99, 3_000, 30_000);
		this.table.reported(99, 99, 0);
		assertEquals(this.table.freeSlot(LIMIT), -1);
		this.table.tick(100, 3_000, 30_000);
		this.table.reported(120, 120, 0);
		assertEquals(this.table.freeSlot(LIMIT), -1);
		this.table.reported(200, 200, 0);
		assertEquals(this.table.freeSlot(LIMIT), 0);
	}

	@Test
	public void testLowestSlotStaysHeldForAnUnexplainedRequest() {
		this.table.tick(100, 3_000, 30_000);
		this.table.reported(200, 200, 1);
		assertEquals(this.table.freeSlot(LIMIT), 2);
		assertEquals(this.table.blocked(), 1);
	}

	@Test
	public void testRequestsOfOtherOwnersExplainAReportOnceAllConfirmed() {
		this.table.tick(100, 3_000, 30_000);
		this.table.seen(1, occupant(1, 150), 150);
		this.table.reported(200, 200, 1);
		this.table.seen(1, occupant(1, 1_150), 1_150);
		assertEquals(this.table.blocked(), 1);
		this.table.reported(1_400, 1_400, 1);
		assertEquals(this.table.blocked(), 0);
	}

	@Test
	public void testHeldSlotIsFreeOnceLostRequestsRunNoMore() {
		this.table.tick(100, 3_000, 30_000);
		this.table.reported(200, 200, 4);
		this.table.tick(30_100, 3_000, 30_000);
		assertEquals(this.table.blocked(), 0);
	}

	@Test
	public void testSlotAtTheLimitIsNotGranted() {
		free();
		this.table.occupy(0, occupant(1, 300));
		assertEquals(this.table.freeSlot(2), -1);
		assertEquals(this.table.freeSlot(3), 2);
	}

	@Test
	public void testForeignWorkTakesRoom() {
		free();
		this.table.reported(300, 300, LIMIT);
		assertEquals(this.table.freeSlot(LIMIT), -1);
	}

	@Test
	public void testUnconfirmedRequestHoldsItsSlotUntilAReportShowsTheRoom() {
		free();
		this.table.occupy(0, occupant(1, 300));
		this.table.tick(4_000, 3_000, 30_000);
		assertEquals(this.table.occupied(), 0);
		assertEquals(this.table.blocked(), 1);
		this.table.reported(4_100, 4_100, 0);
		assertEquals(this.table.freeSlot(LIMIT), 0);
	}

	@Test
	public void testSecondRequestInASlotTakesRoom() {
		free();
		this.table.seen(0, occupant(1, 300), 300);
		this.table.seen(0, occupant(2, 300), 300);
		assertEquals(this.table.occupied(), 2);
		assertEquals(this.table.freeSlot(2), -1);
	}

	private void free() {
		this.table.tick(100, 3_000, 30_000);
		this.table.reported(200, 200, 0);
	}

	private static Occupant occupant(long sequence, long now) {
		GrantId grant = new GrantId(new Incarnation(new VmId("vm-0"), 1), sequence);
		return new Occupant(grant, new OrganisationId("one"), ENTRY, now, now);
	}

}
