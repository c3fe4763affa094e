package org.ebonyford.acceptance;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import java.util.stream.LongStream;

import org.testng.Reporter;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import org.ebonyford.emulator.fault.Fault;
import org.ebonyford.emulator.load.Balancer;
import org.ebonyford.emulator.load.Load;
import org.ebonyford.emulator.load.Route;
import org.ebonyford.emulator.load.Verdict;
import org.ebonyford.emulator.platform.LogStandIn;
import org.ebonyford.emulator.process.Await;
import org.ebonyford.emulator.site.Router;
import org.ebonyford.emulator.site.Site;
import org.ebonyford.emulator.site.StandIns;
import org.ebonyford.emulator.truth.Run;
import org.ebonyford.emulator.truth.Truth;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests that the log removes records while calls go on and nothing is forgotten by it: a
 * repeat of a key whose claim was removed does not run again, and a router that starts
 * empty afterwards gets the newest control state.
 */
public class RetentionTest {

	private static final long SEED = 4_002;

	private static final long SECONDS = 60;

	private static final int KEYS = 20;

	private static final long KEYS_THAT_RAN = 1_000_000;

	private static final long KEYS_WITH_LOST_ANSWERS = 2_000_000;

	private static final long KEYS_OF_CALLERS = 3_000_000;

	private static final long PATIENCE_MILLIS = 10_000;

	private static final long RETENTION_MILLIS = 12_000;

	private static final int RECORDS = 1_000_000;

	private static final List<String> SERVICES = List.of("booking-core-1", "booking-core-2");

	private final Load load = new Load(SEED);

	private Site site;

	private Versions versions;

	private long version;

	private long claimsEnd;

	@BeforeClass
	public void start() {
		Reporter.log("seed " + SEED, true);
		this.site = Site.of(Sites.small())
			.setting("platform", "log-retention", RETENTION_MILLIS + " ms")
			.setting("control", "refresh-spread", "1 s")
			.setting("control", "refresh-retry", "1 s")
			.setting("claims", "restate-spread", "1 s")
			.setting("claims", "clock-skew", "1 s")
			.start();
		this.site.standIns().retain(new LogStandIn.Retention(RETENTION_MILLIS, RECORDS));
		this.versions = new Versions(this.site);
		this.version = this.versions.newest();
	}

	@AfterClass(alwaysRun = true)
	public void stop() {
		this.load.close();
		if (this.site != null) {
			this.versions.close();
			this.site.close();
		}
	}

	@Test
	public void testRepeatsOfRemovedClaims() {
		awaitAll("the keys to run", KEYS_THAT_RAN, this.site.routers().subList(0, 1), Verdict::completed);
		SERVICES.forEach((service) -> this.site.standIns().fault(service, Fault.of(Fault.Kind.LOST)));
		awaitAll("the answers to be lost", KEYS_WITH_LOST_ANSWERS, this.site.routers().subList(0, 1),
				RetentionTest::unknown);
		SERVICES.forEach(this.site.standIns()::heal);
		this.claimsEnd = stream("claims").end();
		callers();
		Await.until("the claims to be removed", SECONDS, () -> stream("claims").first() >= this.claimsEnd);
		assertRemembered(this.site.routers());
	}

	@Test(dependsOnMethods = "testRepeatsOfRemovedClaims")
	public void testEmptyRestartKnowsWhatTheLogRemoved() {
		assertTrue(stream("control").first() > this.version, "the first control state is kept");
		restart(0);
		assertRemembered(List.of(this.site.router(0)));
	}

	@Test(dependsOnMethods = "testEmptyRestartKnowsWhatTheLogRemoved")
	public void testOutageOutlastsTheRetention() {
		this.site.standIns().fault(StandIns.LOG, Fault.of(Fault.Kind.OUTAGE));
		long since = System.currentTimeMillis();
		Await.until("the outage to take half of the retention", SECONDS,
				() -> System.currentTimeMillis() >= since + RETENTION_MILLIS / 2);
		this.site.router(1).kill();
		this.site.standIns().retain(new LogStandIn.Retention(1, 1));
		this.site.standIns().retain(new LogStandIn.Retention(RETENTION_MILLIS, RECORDS));
		assertTrue(stream("control").first() >= stream("control").end() - 1, "control states are kept");
		this.site.standIns().heal(StandIns.LOG);
		restart(1);
		assertRemembered(List.of(this.site.router(1)));
	}

	@Test(dependsOnMethods = "testOutageOutlastsTheRetention", alwaysRun = true)
	public void testNothingWasDoubledOrToldWrong() {
		Judge judge = new Judge(this.site);
		judge.assertHonest(this.load.stop().verdicts());
		judge.assertNoFall();
		assertEquals(this.versions.reversions(), List.of());
	}

	private void callers() {
		Balancer balancer = new Balancer.OfAll(
				this.site.routers().stream().map((router) -> Route.throughRouter(router.callers())).toList());
		this.load.rate(20, balancer, (number) -> Sites.quote(number).within(PATIENCE_MILLIS))
			.rate(20, balancer, (number) -> Sites.booking(KEYS_OF_CALLERS + number).within(PATIENCE_MILLIS));
	}

	private void restart(int index) {
		long newest = this.versions.newest();
		this.site.router(index).kill();
		this.site.restart(index);
		this.site.awaitReady();
		long own = Versions.of(this.site.router(index));
		assertTrue(own >= newest, "version " + own + " of " + newest);
	}

	private void assertRemembered(List<Router> routers) {
		awaitAll("repeats to be refused as unknown", KEYS_WITH_LOST_ANSWERS, routers, RetentionTest::unknown);
		awaitAll("repeats to get the first answers", KEYS_THAT_RAN, routers, Verdict::completed);
		List<String> runs = new Judge(this.site).truths()
			.stream()
			.map(Truth::runs)
			.flatMap(List::stream)
			.map(Run::key)
			.filter(RetentionTest::kept)
			.toList();
		assertEquals(runs.stream().distinct().count(), 2 * KEYS);
		assertEquals(runs.size(), 2 * KEYS, "runs of " + 2 * KEYS + " keys");
	}

	private void awaitAll(String what, long firstKey, List<Router> routers, Predicate<Verdict> wanted) {
		List<Verdict> last = new ArrayList<>();
		Await.until(() -> what + ", but got " + last, SECONDS, () -> {
			last.clear();
			last.addAll(book(firstKey, routers));
			return last.stream().allMatch(wanted);
		});
	}

	private List<Verdict> book(long firstKey, List<Router> routers) {
		List<CompletableFuture<Verdict>> answers = LongStream.range(firstKey, firstKey + KEYS)
			.boxed()
			.flatMap((number) -> routers.stream()
				.map((router) -> this.load.send(Route.throughRouter(router.callers()),
						Sites.booking(number).within(PATIENCE_MILLIS))))
			.toList();
		return answers.stream().map(CompletableFuture::join).toList();
	}

	private LogStandIn.StreamTruth stream(String name) {
		return this.site.standIns().logTruth().streams().get(name);
	}

	private static boolean kept(String key) {
		return key.startsWith("key-1000") || key.startsWith("key-2000");
	}

	private static boolean unknown(Verdict verdict) {
		return verdict.result() == Verdict.Result.REFUSED && verdict.outcome().equals("unknown");
	}

}
