package org.ebonyford.acceptance;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import org.ebonyford.emulator.fault.Fault;
import org.ebonyford.emulator.http.Json;
import org.ebonyford.emulator.platform.LogStandIn;
import org.ebonyford.emulator.process.Await;
import org.ebonyford.emulator.site.CommandResult;
import org.ebonyford.emulator.site.Deployment;
import org.ebonyford.emulator.site.Router;
import org.ebonyford.emulator.site.Site;
import org.ebonyford.emulator.site.StandIns;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests that an accepted configuration is in force everywhere within seconds and never
 * reverts.
 */
public class ConfigurationTest {

	private static final long SECONDS = 60;

	private final ScheduledExecutorService observer = Executors.newSingleThreadScheduledExecutor();

	private final Map<Long, Long> versions = new HashMap<>();

	private final List<String> reversions = Collections.synchronizedList(new ArrayList<>());

	private Site site;

	@BeforeClass
	public void start() {
		this.site = Site.of(Sites.small().withRouters(4)).relayed().start();
		this.observer.scheduleWithFixedDelay(this::observe, 0, 100, TimeUnit.MILLISECONDS);
	}

	@AfterClass(alwaysRun = true)
	public void stop() {
		this.observer.shutdownNow();
		if (this.site != null) {
			this.site.close();
		}
	}

	@Test
	public void testInForceEverywhereWithinSeconds() {
		for (int weight = 2; weight < 6; weight++) {
			long before = newest();
			publish(weight);
			long accepted = System.currentTimeMillis();
			awaitEverywhere(before + 1);
			assertTrue(System.currentTimeMillis() - accepted <= Judge.IN_FORCE_MILLIS,
					"in force after " + (System.currentTimeMillis() - accepted) + " ms");
		}
	}

	@Test(dependsOnMethods = "testInForceEverywhereWithinSeconds")
	public void testRaceHasOneWinner() {
		long base = newest();
		List<CompletableFuture<CommandResult>> racers = new ArrayList<>();
		for (int weight = 10; weight < 13; weight++) {
			Path lists = this.site.write(weighted(weight), "racer-" + weight);
			racers.add(CompletableFuture
				.supplyAsync(() -> this.site.operate("publish", "--plans", lists.resolve("plans.ini").toString(),
						"--uses", lists.resolve("uses.ini").toString(), "--based-on", Long.toString(base))));
		}
		long winners = racers.stream().map(CompletableFuture::join).filter((result) -> result.exitCode() == 0).count();
		assertEquals(winners, 1);
		awaitEverywhere(base + 1);
	}

	@Test(dependsOnMethods = "testRaceHasOneWinner", alwaysRun = true)
	public void testRouterCutFromThePlatformLearnsFromPeers() {
		Router cut = this.site.router(1);
		this.site.cutFromPlatform(cut);
		long before = newest();
		publish(6);
		awaitEverywhere(before + 1);
		this.site.healCuts();
	}

	@Test(dependsOnMethods = "testRouterCutFromThePlatformLearnsFromPeers", alwaysRun = true)
	public void testLostAnswerIsSettled() {
		long before = newest();
		this.site.standIns().fault(StandIns.LOG, Fault.of(Fault.Kind.LOST).on(LogStandIn.APPEND).forCalls(1));
		CommandResult result = this.site.publish(weighted(7));
		this.site.standIns().heal(StandIns.LOG);
		assertEquals(result.exitCode(), 0, result.output());
		awaitEverywhere(before + 1);
	}

	@Test(dependsOnMethods = "testLostAnswerIsSettled", alwaysRun = true)
	public void testOutageTellsTheOperator() {
		this.site.standIns().fault(StandIns.LOG, Fault.of(Fault.Kind.OUTAGE));
		CommandResult result = this.site.publish(weighted(8));
		this.site.standIns().heal(StandIns.LOG);
		assertNotEquals(result.exitCode(), 0, result.output());
	}

	@Test(dependsOnMethods = "testOutageTellsTheOperator", alwaysRun = true)
	public void testEmptyRestartGetsTheNewest() {
		long before = newest();
		for (int index = 0; index < this.site.routers().size(); index++) {
			this.site.router(index).kill();
			this.site.restart(index);
			this.site.awaitReady();
			assertTrue(version(this.site.router(index)) >= before);
		}
	}

	@Test(dependsOnMethods = "testEmptyRestartGetsTheNewest", alwaysRun = true)
	public void testNothingEverReverted() {
		assertEquals(this.reversions, List.of());
	}

	private void observe() {
		for (Router router : this.site.routers()) {
			long pid = router.process().pid();
			long version = version(router);
			if (version >= 0 && version < this.versions.getOrDefault(pid, -1L)) {
				this.reversions.add(router.vm() + " from " + this.versions.get(pid) + " to " + version);
			}
			this.versions.merge(pid, version, Math::max);
		}
	}

	private void publish(int weight) {
		CommandResult result = this.site.publish(weighted(weight));
		assertEquals(result.exitCode(), 0, result.output());
	}

	private Deployment weighted(int weight) {
		Deployment deployment = this.site.deployment();
		return deployment.withCustomers(
				List.of(new Deployment.Plan("large", weight, 500), new Deployment.Plan("small", 1, 500)),
				deployment.organisations());
	}

	private void awaitEverywhere(long version) {
		Await.until("version " + version, SECONDS,
				() -> this.site.routers().stream().allMatch((router) -> version(router) >= version));
	}

	private long newest() {
		return this.site.routers().stream().mapToLong(ConfigurationTest::version).max().orElseThrow();
	}

	private static long version(Router router) {
		return Json.tree(router.status().getBytes(StandardCharsets.UTF_8)).path("controlVersion").asLong(-1);
	}

}
