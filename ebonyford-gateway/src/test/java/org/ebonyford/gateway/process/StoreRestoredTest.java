package org.ebonyford.gateway.process;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.ebonyford.gateway.process.FakeUpstream.Script;
import org.ebonyford.gateway.store.StoreRecord;
import org.ebonyford.gateway.store.StoreTopic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against acting on what was in force when a copy of the store was made, after the
 * store has come back from that copy.
 */
public class StoreRestoredTest {

	/**
	 * Longer than it takes to read all topics again.
	 */
	private static final long REREAD_MILLIS = 1_500;

	private FakeStore store;

	private GatewayFixture fixture;

	private Map<StoreTopic, List<StoreRecord>> copy;

	@BeforeMethod
	public void start() {
		this.store = new FakeStore();
		this.fixture = new GatewayFixture(this.store, true).configured();
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws IOException {
		this.fixture.close();
	}

	/**
	 * The records that are written again after the return: so few that reads find none,
	 * or so many that offsets are the same as before.
	 */
	@DataProvider
	public Object[][] writtenAgain() {
		return new Object[][] { { 0 }, { 1 }, { 3 } };
	}

	@Test(dataProvider = "writtenAgain")
	public void testUpstreamThatHasLeftIsNotInUseAgain(int again) throws Exception {
		FakeUpstream left = this.fixture.upstream("u1", "reads", Script.ok("left"));
		this.copy = this.store.copy();
		this.store.write(StoreTopic.UPSTREAMS, "u1", null);
		GatewayFixture.await("the upstream has left", () -> this.fixture.log().contains("UPSTREAM_GONE"));
		restore(StoreTopic.UPSTREAMS, again);
		assertNothingArrives(left);
	}

	@Test(dataProvider = "writtenAgain")
	public void testUpstreamThatLeavesGetsNothing(int again) throws Exception {
		FakeUpstream leaving = this.fixture.upstream("u1", "reads", Script.ok("leaving"));
		this.copy = this.store.copy();
		this.fixture.register("u1", "reads", leaving.port(), "dc1", true);
		GatewayFixture.await("the upstream leaves", () -> this.fixture.log().contains("\"draining\":true"));
		restore(StoreTopic.UPSTREAMS, again);
		assertNothingArrives(leaving);
	}

	@Test(dataProvider = "writtenAgain")
	public void testEvacuationHolds(int again) throws Exception {
		FakeUpstream evacuated = this.fixture.upstream("u1", "reads", Script.ok("evacuated"));
		this.copy = this.store.copy();
		this.store.write(StoreTopic.OPERATOR, "evacuate dc1", "now");
		GatewayFixture.await("the evacuation is known", () -> this.fixture.log().contains("EVACUATION"));
		restore(StoreTopic.OPERATOR, again);
		assertNothingArrives(evacuated);
	}

	@Test
	public void testEvacuationEndsIfTheOperatorDoesNotWriteItAgain() {
		this.fixture.upstream("u1", "reads", Script.ok("evacuated"));
		this.copy = this.store.copy();
		this.store.write(StoreTopic.OPERATOR, "evacuate dc1", "now");
		GatewayFixture.await("the evacuation is known", () -> this.fixture.log().contains("EVACUATION"));
		restore(StoreTopic.OPERATOR, 0);
		long started = System.nanoTime();
		while (!this.fixture.log().contains("\"active\":false")) {
			assertTrue(System.nanoTime() - started < TimeUnit.SECONDS.toNanos(10), this.fixture.log());
			sleep(50);
		}
	}

	@Test(dataProvider = "writtenAgain")
	public void testUpstreamThatTheCopyLacksStaysInUse(int again) {
		this.copy = this.store.copy();
		FakeUpstream later = this.fixture.upstream("u1", "reads", Script.ok("later"));
		restore(StoreTopic.UPSTREAMS, again);
		sleep(REREAD_MILLIS);
		assertServed();
		assertEquals(later.requests().size(), 1);
	}

	@Test
	public void testUpstreamWhoseEntryWasMissingForAMomentStaysInUse() {
		FakeUpstream upstream = this.fixture.upstream("u1", "reads", Script.ok("back"));
		this.store.write(StoreTopic.UPSTREAMS, "u1", null);
		GatewayFixture.await("the entry is missing", () -> this.fixture.log().contains("UPSTREAM_GONE"));
		this.fixture.register("u1", "reads", upstream.port(), "dc1", false);
		GatewayFixture.await("the entry is back",
				() -> this.fixture.call("/read/1", "b", "").startsWith("HTTP/1.1 200 "));
		this.copy = this.store.copy();
		restore(StoreTopic.UPSTREAMS, 0);
		sleep(2 * REREAD_MILLIS);
		assertServed();
	}

	@Test(dataProvider = "writtenAgain")
	public void testChangeAfterTheReturnIsSeen(int again) {
		this.copy = this.store.copy();
		this.store.write(StoreTopic.UPSTREAMS, "other", "unreadable");
		this.store.write(StoreTopic.UPSTREAMS, "other", "unreadable");
		sleep(REREAD_MILLIS);
		restore(StoreTopic.UPSTREAMS, again);
		this.fixture.upstream("u1", "reads", Script.ok("new"));
		assertServed();
	}

	@Test
	public void testGatewayAnnouncesItselfAgain() {
		Map<StoreTopic, List<StoreRecord>> empty = new FakeStore().copy();
		this.copy = this.store.copy();
		this.copy.put(StoreTopic.GATEWAYS, empty.get(StoreTopic.GATEWAYS));
		GatewayFixture.await("the gateway has announced itself",
				() -> !this.store.records(StoreTopic.GATEWAYS).isEmpty());
		restore(StoreTopic.GATEWAYS, 0);
		GatewayFixture.await("the gateway has announced itself again",
				() -> !this.store.records(StoreTopic.GATEWAYS).isEmpty());
	}

	@Test
	public void testRevokedKeyIsRefusedByAGatewayThatStartsFromTheCopy() throws IOException {
		this.fixture.upstream("u1", "reads", Script.ok("whole"));
		this.copy = this.store.copy();
		this.fixture.revoke();
		GatewayFixture.await("the key is revoked",
				() -> this.fixture.call("/read/1", "a1", "").startsWith("HTTP/1.1 401 "));
		restore(StoreTopic.OPERATOR, 0);
		try (GatewayFixture later = new GatewayFixture(this.store, true)) {
			GatewayFixture.await("the key is refused", () -> later.metrics().contains("ebonyford_gateways 2")
					&& later.call("/read/1", "b", "").startsWith("HTTP/1.1 503 "));
			long started = System.nanoTime();
			while (System.nanoTime() - started < TimeUnit.MILLISECONDS.toNanos(REREAD_MILLIS)) {
				String answer = later.call("/read/1", "b" + System.nanoTime(), "");
				assertTrue(answer.startsWith("HTTP/1.1 503 "), answer);
				sleep(50);
			}
		}
	}

	@Test
	public void testAddedRouteIsNotDeniedByAGatewayThatStartsFromTheCopy() throws IOException {
		this.fixture.upstream("u1", "reads", Script.ok("whole"));
		this.copy = this.store.copy();
		this.fixture.configure();
		GatewayFixture.await("the route is added",
				() -> this.fixture.call("/added/1", "a1", "").startsWith("HTTP/1.1 200 "));
		restore(StoreTopic.OPERATOR, 0);
		try (GatewayFixture later = new GatewayFixture(this.store, true)) {
			later.awaitLogged("the later gateway knows of the newer configuration", () -> {
				later.call("/added/1", "b" + System.nanoTime(), "");
				return later.log().contains("peers know a newer configuration than the store");
			});
			long started = System.nanoTime();
			while (System.nanoTime() - started < TimeUnit.MILLISECONDS.toNanos(REREAD_MILLIS)) {
				String answer = later.call("/added/1", "c" + System.nanoTime(), "");
				assertTrue(answer.startsWith("HTTP/1.1 503 "), answer);
				sleep(50);
			}
			assertEquals(later.readiness(), 503);
			this.fixture.configure();
			this.fixture.configure();
			GatewayFixture.await("the route is served",
					() -> later.call("/added/1", "d", "").startsWith("HTTP/1.1 200 ") && later.readiness() == 200);
		}
	}

	private void restore(StoreTopic topic, int again) {
		this.store.restore(this.copy);
		for (int count = 0; count < again; count++) {
			this.store.write(topic, "other", "unreadable");
		}
	}

	private void assertNothingArrives(FakeUpstream upstream) {
		long started = System.nanoTime();
		for (int count = 0; System.nanoTime() - started < TimeUnit.MILLISECONDS.toNanos(REREAD_MILLIS); count++) {
			this.fixture.call("/read/1", "a" + count, "");
			sleep(20);
		}
		assertEquals(upstream.requests().stream().filter((request) -> request.startsWith("POST")).count(), 0);
	}

	private void assertServed() {
		String answer = this.fixture.call("/read/1", "a1", "");
		assertTrue(answer.startsWith("HTTP/1.1 200 "), answer + this.fixture.log());
	}

	private static void sleep(long millis) {
		try {
			TimeUnit.MILLISECONDS.sleep(millis);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
