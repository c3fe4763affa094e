package org.ebonyford.slot;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.testng.annotations.Test;

import org.ebonyford.configuration.Upstream;
import org.ebonyford.identity.DataCentreId;
import org.ebonyford.identity.PoolId;
import org.ebonyford.identity.UpstreamId;
import org.ebonyford.identity.VmId;

import static org.quicktheories.QuickTheory.qt;
import static org.quicktheories.generators.SourceDSL.integers;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests {@link SlotOwners}.
 */
public class SlotOwnersTest {

	@Test
	public void testOnlySlotsOfTheVmThatLeavesMove() {
		qt().forAll(integers().between(2, 40), integers().between(0, 500), integers().between(0, 15))
			.check((count, upstream, slot) -> {
				List<VmId> before = vms(count);
				VmId gone = before.get(upstream % count);
				List<VmId> after = new ArrayList<>(before);
				after.remove(gone);
				VmId owner = SlotOwners.ForRendezvousHash.INSTANCE.owner(upstream(upstream), slot, before)
					.orElseThrow();
				VmId next = SlotOwners.ForRendezvousHash.INSTANCE.owner(upstream(upstream), slot, after).orElseThrow();
				return owner.equals(gone) || owner.equals(next);
			});
	}

	@Test
	public void testNoCandidateMeansNoOwner() {
		assertTrue(SlotOwners.ForRendezvousHash.INSTANCE.owner(upstream(1), 0, List.of()).isEmpty());
	}

	@Test
	public void testSlotsSpreadOverAllCandidates() {
		assertEquals(owners(SlotOwners.ForRendezvousHash.INSTANCE).size(), 7);
	}

	@Test
	public void testFewOwnersShareAPool() {
		assertEquals(owners(new SlotOwners.ForFewOwners(3)).size(), 3);
	}

	private static Set<VmId> owners(SlotOwners slotOwners) {
		Set<VmId> owners = new HashSet<>();
		for (int upstream = 0; upstream < 20; upstream++) {
			for (int slot = 0; slot < 8; slot++) {
				owners.add(slotOwners.owner(upstream(upstream), slot, vms(7)).orElseThrow());
			}
		}
		return owners;
	}

	private static List<VmId> vms(int count) {
		List<VmId> vms = new ArrayList<>();
		for (int index = 0; index < count; index++) {
			vms.add(new VmId("vm-" + index));
		}
		return vms;
	}

	private static Upstream upstream(int index) {
		return new Upstream(new UpstreamId("e" + index), new PoolId("pool"), new DataCentreId("a"), "host:1");
	}

}
