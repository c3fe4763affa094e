package org.ebonyford.claim;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import org.testng.annotations.Test;

import org.ebonyford.identity.DataCentreId;
import org.ebonyford.identity.VmId;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests {@link WriterOrder}.
 */
public class WriterOrderTest {

	private static final WriterOrder ORDER = WriterOrder.ForRendezvousHash.INSTANCE;

	private static final DataCentreId DATA_CENTRE = new DataCentreId("kz-south-a");

	private final List<VmId> routers = IntStream.range(0, 49)
		.mapToObj((index) -> new VmId("kz-south-a-entry-" + index))
		.toList();

	@Test
	public void testOrderDoesNotDependOnTheOrderOfTheList() {
		List<VmId> shuffled = new ArrayList<>(this.routers);
		Collections.shuffle(shuffled, new Random(1));
		assertEquals(ORDER.of(DATA_CENTRE, shuffled), ORDER.of(DATA_CENTRE, this.routers));
	}

	@Test
	public void testRouterThatLeavesMovesNoOther() {
		List<VmId> order = new ArrayList<>(ORDER.of(DATA_CENTRE, this.routers));
		List<VmId> fewer = new ArrayList<>(this.routers);
		fewer.remove(order.remove(10));
		assertEquals(ORDER.of(DATA_CENTRE, fewer), order);
	}

	@Test
	public void testDataCentresHaveDifferentOrders() {
		long first = IntStream.range(0, 50)
			.mapToObj((index) -> ORDER.of(new DataCentreId("dc-" + index), this.routers).get(0))
			.distinct()
			.count();
		assertTrue(first > 15, "only " + first + " different writers");
	}

	@Test
	public void testDisabledAsksNobody() {
		assertEquals(WriterOrder.Disabled.INSTANCE.of(DATA_CENTRE, this.routers), List.of());
	}

}
