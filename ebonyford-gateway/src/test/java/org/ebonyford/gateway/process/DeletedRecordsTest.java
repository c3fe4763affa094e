package org.ebonyford.gateway.process;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.ebonyford.gateway.process.FakeUpstream.Script;
import org.ebonyford.gateway.store.StoreTopic;

import static org.testng.Assert.assertEquals;

/**
 * Guards against gateways that miss a removal because the store deletes its record before
 * they have read it. Most gateways read through a peer and wait there at that moment.
 */
public class DeletedRecordsTest {

	private static final int GATEWAYS = 4;

	/**
	 * Longer than it takes to read all topics, directly or through a peer.
	 */
	private static final long REREAD_MILLIS = 1_500;

	private final List<GatewayFixture> fixtures = new ArrayList<>();

	private FakeStore store;

	@BeforeMethod
	public void start() {
		this.store = new FakeStore();
		for (int index = 0; index < GATEWAYS; index++) {
			this.fixtures.add(new GatewayFixture(this.store, true).configured());
		}
		this.fixtures.forEach((fixture) -> GatewayFixture.await("all gateways are found",
				() -> fixture.metrics().contains("ebonyford_gateways " + GATEWAYS)));
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws IOException {
		for (GatewayFixture fixture : this.fixtures) {
			fixture.close();
		}
		this.fixtures.clear();
	}

	@Test
	public void testUpstreamWhoseRemovalIsDeletedGetsNothing() throws Exception {
		FakeUpstream left = this.fixtures.get(0).upstream("u1", "reads", Script.ok("left"));
		this.fixtures.forEach((fixture) -> GatewayFixture.await("the upstream is known everywhere",
				() -> fixture.log().contains("\"upstream\":\"u1\"")));
		TimeUnit.MILLISECONDS.sleep(REREAD_MILLIS);
		this.store.writeAndForgetHistory(StoreTopic.UPSTREAMS, "u1", null);
		TimeUnit.MILLISECONDS.sleep(REREAD_MILLIS);
		for (GatewayFixture fixture : this.fixtures) {
			assertEquals(fixture.call("/read/1", "a", "").substring(0, 12), "HTTP/1.1 503", fixture.log());
		}
		assertEquals(left.requests().size(), 0);
	}

	@Test
	public void testEvacuationWhoseEndIsDeletedEndsEverywhere() throws Exception {
		this.fixtures.get(0).upstream("u1", "reads", Script.ok("back"));
		this.store.write(StoreTopic.OPERATOR, "evacuate dc1", "now");
		this.fixtures.forEach((fixture) -> GatewayFixture.await("the evacuation is known everywhere",
				() -> fixture.log().contains("\"active\":true")));
		TimeUnit.MILLISECONDS.sleep(REREAD_MILLIS);
		this.store.writeAndForgetHistory(StoreTopic.OPERATOR, "evacuate dc1", null);
		TimeUnit.MILLISECONDS.sleep(REREAD_MILLIS);
		for (GatewayFixture fixture : this.fixtures) {
			assertEquals(fixture.call("/read/1", "a", "").substring(0, 12), "HTTP/1.1 200", fixture.log());
		}
	}

}
