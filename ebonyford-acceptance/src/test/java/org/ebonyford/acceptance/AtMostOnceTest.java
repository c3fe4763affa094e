package org.ebonyford.acceptance;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.LongStream;

import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import org.ebonyford.emulator.fault.Fault;
import org.ebonyford.emulator.load.CheckingClient;
import org.ebonyford.emulator.load.Route;
import org.ebonyford.emulator.load.Verdict;
import org.ebonyford.emulator.platform.LogStandIn;
import org.ebonyford.emulator.process.Await;
import org.ebonyford.emulator.site.Router;
import org.ebonyford.emulator.site.Site;
import org.ebonyford.emulator.site.StandIns;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests that a request that may not be repeated runs at most once, whatever fails.
 */
public class AtMostOnceTest {

	private static final int KEYS = 20;

	private final CheckingClient client = new CheckingClient();

	private final List<Verdict> all = Collections.synchronizedList(new ArrayList<>());

	private Site site;

	private long nextKey;

	@BeforeClass
	public void start() {
		this.site = Site.of(Sites.small()).relayed().start();
		this.site.routers().forEach(this::awaitServed);
	}

	@AfterClass(alwaysRun = true)
	public void stop() {
		if (this.site != null) {
			this.site.close();
		}
		this.client.close();
	}

	@Test
	public void testSameKeyToAllRoutersAtOnce() {
		List<Verdict> verdicts = join(sendToAll());
		assertHonest();
		assertTrue(verdicts.stream().filter(Verdict::completed).count() >= KEYS, verdicts.toString());
	}

	@Test(dependsOnMethods = "testSameKeyToAllRoutersAtOnce", alwaysRun = true)
	public void testAnswersOfTheLogAreLost() {
		this.site.standIns().fault(StandIns.LOG, Fault.of(Fault.Kind.LOST).on(LogStandIn.APPEND).forCalls(10));
		join(sendToAll());
		this.site.standIns().heal(StandIns.LOG);
		assertHonest();
	}

	@Test(dependsOnMethods = "testAnswersOfTheLogAreLost", alwaysRun = true)
	public void testOutageOfTheLogRefusesTruthfully() {
		this.site.standIns().fault(StandIns.LOG, Fault.of(Fault.Kind.OUTAGE));
		List<Verdict> verdicts = join(sendToAll());
		this.site.standIns().heal(StandIns.LOG);
		assertHonest();
		assertEquals(verdicts.stream().filter(Verdict::completed).count(), 0);
		this.site.routers().forEach(this::awaitServed);
	}

	@Test(dependsOnMethods = "testOutageOfTheLogRefusesTruthfully", alwaysRun = true)
	public void testAnswersOfTheServiceAreLost() {
		this.site.standIns().fault("booking-core-1", Fault.of(Fault.Kind.LOST).forCalls(5));
		this.site.standIns().fault("booking-core-2", Fault.of(Fault.Kind.LOST).forCalls(5));
		join(sendToAll());
		assertHonest();
		this.site.standIns().heal("booking-core-1");
		this.site.standIns().heal("booking-core-2");
	}

	@Test(dependsOnMethods = "testAnswersOfTheServiceAreLost", alwaysRun = true)
	public void testRouterKilledAndStartedEmpty() {
		for (int index = 0; index < this.site.routers().size(); index++) {
			long first = this.nextKey + 1;
			List<CompletableFuture<Verdict>> open = sendToAll();
			this.site.router(index).kill();
			join(open);
			this.site.restart(index);
			this.site.awaitReady();
			join(send(first));
			assertHonest();
		}
	}

	@Test(dependsOnMethods = "testRouterKilledAndStartedEmpty", alwaysRun = true)
	public void testRouterFrozenAndWoken() {
		for (Router router : this.site.routers()) {
			long first = this.nextKey + 1;
			List<CompletableFuture<Verdict>> open = sendToAll();
			router.freeze();
			List<Verdict> others = join(
					send(first, this.site.routers().stream().filter((other) -> other != router).toList()));
			assertTrue(others.size() > 0);
			router.thaw();
			join(open);
			join(send(first));
			assertHonest();
		}
	}

	private List<CompletableFuture<Verdict>> sendToAll() {
		long first = this.nextKey + 1;
		this.nextKey += KEYS;
		return send(first);
	}

	private List<CompletableFuture<Verdict>> send(long first) {
		return send(first, this.site.routers());
	}

	private List<CompletableFuture<Verdict>> send(long first, List<Router> routers) {
		return LongStream.range(first, first + KEYS)
			.boxed()
			.flatMap((number) -> routers.stream()
				.map((router) -> this.client.send(Route.throughRouter(router.callers()),
						Sites.booking(number).within(10_000))))
			.toList();
	}

	private List<Verdict> join(List<CompletableFuture<Verdict>> answers) {
		List<Verdict> verdicts = answers.stream().map(CompletableFuture::join).toList();
		this.all.addAll(verdicts);
		return verdicts;
	}

	private void awaitServed(Router router) {
		Await.until("bookings to be served again", 60, () -> {
			this.nextKey++;
			Verdict verdict = this.client.send(Route.throughRouter(router.callers()), Sites.booking(this.nextKey))
				.join();
			this.all.add(verdict);
			return verdict.completed();
		});
	}

	private void assertHonest() {
		new Judge(this.site).assertHonest(this.all);
	}

}
