package org.ebonyford.peer;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

import org.testng.annotations.Test;

import org.ebonyford.identity.VmId;

import static org.testng.Assert.assertEquals;

/**
 * Tests {@link Audience}.
 */
public class AudienceTest {

	private static final List<VmId> PEERS = IntStream.range(0, 10)
		.mapToObj((index) -> new VmId("vm-" + index))
		.toList();

	@Test
	public void testAllAreChosen() {
		assertEquals(Audience.ForAll.INSTANCE.select(PEERS, 3), PEERS);
	}

	@Test
	public void testRotationReachesEachPeerInTurn() {
		Audience rotation = new Audience.OfRotation(3);
		Set<VmId> reached = new HashSet<>();
		for (long turn = 0; turn < 4; turn++) {
			List<VmId> chosen = rotation.select(PEERS, turn);
			assertEquals(chosen.size(), 3);
			reached.addAll(chosen);
		}
		assertEquals(reached, Set.copyOf(PEERS));
	}

	@Test
	public void testRotationOverFewPeersChoosesAll() {
		assertEquals(new Audience.OfRotation(30).select(PEERS, 9), PEERS);
	}

}
