package org.ebonyford.placement;

import java.util.stream.IntStream;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests {@link ConnectionShare}. If the shares of all routers add up to more than an
 * upstream accepts, it refuses connections; if they are fixed at an even split, a router
 * that gets nearly all callers runs out of connections while others leave theirs unused.
 */
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
	 * The other routers hold the maximum number of idle connections: half of an even
	 * share each, or a single one.
	 */
	@Test(dataProvider = "sizes")
	public void testRouterMayUseConnectionsThatOthersLeave(int accepted, int routers) {
		ConnectionShare share = ConnectionShare.of(accepted, routers, 0);
		int sum = share.maxOpen() + (routers - 1) * share.maxIdle();
		assertTrue(sum <= accepted, share + " with a limit of " + accepted + " and routers: " + routers);
		int minOpen = (int) ((2 * routers <= accepted * 0.85) ? accepted * 0.85 / 2 : accepted * 0.85 - routers);
		assertTrue(share.maxOpen() >= minOpen, share + " with a limit of " + accepted + " and routers: " + routers);
	}

	/**
	 * All routers need connections at once and know how many the others use.
	 */
	@Test(dataProvider = "sizes")
	public void testAllRoutersTogetherStayWithinTheLimit(int accepted, int routers) {
		int[] used = new int[routers];
		for (int round = 0; round < accepted; round++) {
			for (int router = 0; router < routers; router++) {
				int others = IntStream.of(used).sum() - used[router];
				used[router] += (used[router] < ConnectionShare.of(accepted, routers, others).maxOpen()) ? 1 : 0;
			}
		}
		int maxIdle = ConnectionShare.of(accepted, routers, 0).maxIdle();
		int sum = IntStream.of(used).map((own) -> Math.max(own, maxIdle)).sum();
		assertTrue(sum <= accepted, sum + " connections with a limit of " + accepted + " and routers: " + routers);
	}

	@Test
	public void testEachRouterMayHoldOneConnection() {
		assertEquals(ConnectionShare.of(96, 340, 96), new ConnectionShare(1, 1));
		assertEquals(ConnectionShare.of(0, 1, 0), new ConnectionShare(1, 1));
	}

}
