package org.ebonyford.placement;

import java.util.stream.IntStream;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class ConnectionShareTest {

	@DataProvider
	public Object[][] sizes() {
		return IntStream.of(96, 360, 640, 690, 730)
			.boxed()
			.flatMap((accepted) -> IntStream.of(1, 6, 30, 61, 95, 340)
				.filter((routers) -> routers < accepted * 0.85)
				.mapToObj((routers) -> new Object[] { accepted, routers }))
			.toArray(Object[][]::new);
	}

	/**
	 * The others keep as many idle connections as they may: half of an even share each,
	 * or the only one.
	 */
	@Test(dataProvider = "sizes")
	public void testRouterUsesWhatTheOthersLeave(int accepted, int routers) {
		ConnectionShare share = ConnectionShare.of(accepted, routers, 0);
		int sum = share.maxOpen() + (routers - 1) * share.maxIdle();
		assertTrue(sum <= accepted, share + " of " + accepted + " for " + routers);
		int left = (int) ((2 * routers <= accepted * 0.85) ? accepted * 0.85 / 2 : accepted * 0.85 - routers);
		assertTrue(share.maxOpen() >= left, share + " of " + accepted + " for " + routers);
	}

	/**
	 * All need connections at once and know of each other's.
	 */
	@Test(dataProvider = "sizes")
	public void testRoutersTogetherStayWithinWhatIsAccepted(int accepted, int routers) {
		int[] used = new int[routers];
		for (int round = 0; round < accepted; round++) {
			for (int router = 0; router < routers; router++) {
				int others = IntStream.of(used).sum() - used[router];
				used[router] += (used[router] < ConnectionShare.of(accepted, routers, others).maxOpen()) ? 1 : 0;
			}
		}
		int kept = ConnectionShare.of(accepted, routers, 0).maxIdle();
		int sum = IntStream.of(used).map((own) -> Math.max(own, kept)).sum();
		assertTrue(sum <= accepted, sum + " of " + accepted + " for " + routers);
	}

	@Test
	public void testOneConnectionIsLeftToEachRouter() {
		assertEquals(ConnectionShare.of(96, 340, 96), new ConnectionShare(1, 1));
		assertEquals(ConnectionShare.of(0, 1, 0), new ConnectionShare(1, 1));
	}

}
