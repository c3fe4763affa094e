package org.ebonyford.acceptance;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import java.util.stream.LongStream;
import java.util.stream.Stream;

import org.testng.Reporter;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import org.ebonyford.emulator.load.Balancer;
import org.ebonyford.emulator.load.CallSpec;
import org.ebonyford.emulator.load.Load;
import org.ebonyford.emulator.load.Route;
import org.ebonyford.emulator.load.Verdict;
import org.ebonyford.emulator.process.Await;
import org.ebonyford.emulator.site.CommandResult;
import org.ebonyford.emulator.site.Deployment;
import org.ebonyford.emulator.site.Router;
import org.ebonyford.emulator.site.Site;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests that a data centre which is cut off from the others and from the platform goes on
 * serving what it can, that the rest does too, and that nothing is doubled or told wrong.
 */
public class CutDataCentreTest {

	private static final String CUT = "kz-south-b";

	private static final String REST = "kz-south-a";

	private static final long SEED = 4_001;

	private static final long SECONDS = 60;

	private static final int ENOUGH = 15;

	private static final int KEYS = 20;

	private static final long KEYS_OF_THE_CUT = 1_000_000;

	private static final long KEYS_OF_THE_REST = 2_000_000;

	private static final long KEYS_AT_THE_CUT = 3_000_000;

	private static final long KEYS_DURING_THE_CUT = 4_000_000;

	private static final long PATIENCE_MILLIS = 20_000;

	private static final long REFUSED_MILLIS = 5_000;

	private final Load inside = new Load(SEED);

	private final Load outside = new Load(SEED + 1);

	private final Load repeats = new Load(SEED + 2);

	private Site site;

	private Versions versions;

	private long base;

	private long cutAt;

	private long healedAt;

	@BeforeClass
	public void start() {
		Reporter.log("seed " + SEED, true);
		this.site = Site.of(Sites.small().withRouters(4)).relayed().start();
		this.versions = new Versions(this.site);
		this.base = this.versions.newest();
		callers(this.inside, CUT, KEYS_OF_THE_CUT);
		callers(this.outside, REST, KEYS_OF_THE_REST);
		awaitServed(this.inside, 0, true);
		awaitServed(this.outside, 0, true);
	}

	@AfterClass(alwaysRun = true)
	public void stop() {
		this.inside.close();
		this.outside.close();
		this.repeats.close();
		if (this.site != null) {
			this.versions.close();
			this.site.close();
		}
	}

	@Test
	public void testBothSidesGoOn() {
		book(KEYS_AT_THE_CUT, this.site.routers(CUT));
		this.site.isolateDataCentre(CUT);
		this.cutAt = System.currentTimeMillis();
		book(KEYS_AT_THE_CUT, this.site.routers(REST));
		awaitServed(this.inside, settledAt(), false);
		awaitServed(this.outside, settledAt(), true);
		Judge judge = new Judge(this.site);
		assertTrue(judge.begunAfter(judge.upstreams(CUT), settledAt()).size() >= ENOUGH);
		assertTrue(judge.begunAfter(judge.upstreams(REST), settledAt()).size() >= ENOUGH);
	}

	@Test(dependsOnMethods = "testBothSidesGoOn")
	public void testConfigurationIsInForceInTheRestOnly() {
		CommandResult published = this.site.publish(reweighted());
		assertEquals(published.exitCode(), 0, published.output());
		long accepted = System.currentTimeMillis();
		awaitVersion(this.site.routers(REST));
		assertWithin(accepted);
		this.site.routers(CUT).forEach(this::awaitOldVersion);
	}

	@Test(dependsOnMethods = "testConfigurationIsInForceInTheRestOnly")
	public void testKeysAreRefusedAtOnceWhereTheLogIsOutOfReach() {
		List<Verdict> refused = join(book(KEYS_DURING_THE_CUT, this.site.routers(CUT)));
		refused.forEach(CutDataCentreTest::assertRefusedAtOnce);
		Await.until("the keys to be served by the rest", SECONDS,
				() -> join(book(KEYS_DURING_THE_CUT, this.site.routers(REST))).stream().allMatch(Verdict::completed));
	}

	@Test(dependsOnMethods = "testKeysAreRefusedAtOnceWhereTheLogIsOutOfReach", alwaysRun = true)
	public void testCutDataCentreCatchesUp() {
		this.site.healCuts();
		this.healedAt = System.currentTimeMillis();
		awaitVersion(this.site.routers(CUT));
		assertWithin(this.healedAt);
		awaitServed(this.inside, this.healedAt, true);
		awaitServed(this.outside, this.healedAt, true);
		book(KEYS_AT_THE_CUT, this.site.routers());
		book(KEYS_DURING_THE_CUT, this.site.routers());
	}

	@Test(dependsOnMethods = "testCutDataCentreCatchesUp", alwaysRun = true)
	public void testNothingWasDoubledOrToldWrong() {
		List<Verdict> all = new ArrayList<>(this.repeats.stop().verdicts());
		List<Verdict> local = this.inside.stop().verdicts();
		List<Verdict> others = this.outside.stop().verdicts();
		all.addAll(local);
		all.addAll(others);
		Judge judge = new Judge(this.site);
		judge.assertHonest(all);
		judge.assertNoFall();
		assertOnlyLate(local.stream().filter((verdict) -> !hasKey(verdict)));
		assertOnlyLate(others.stream().filter((verdict) -> !hasKey(verdict)));
		local.stream()
			.filter(this::duringTheCut)
			.filter(CutDataCentreTest::hasKey)
			.forEach(CutDataCentreTest::assertRefusedAtOnce);
		assertEquals(this.versions.reversions(), List.of());
	}

	/**
	 * Requires that what began and ended during the cut was served, or was given up
	 * untouched at its deadline, as on a machine that is too busy.
	 * @param verdicts what callers made of their answers
	 */
	private void assertOnlyLate(Stream<Verdict> verdicts) {
		List<Verdict> others = verdicts.filter(this::duringTheCut)
			.filter((verdict) -> !verdict.completed())
			.filter((verdict) -> !verdict.saysNotRun() || !verdict.reason().equals("deadline"))
			.toList();
		assertEquals(others, List.of());
	}

	private void callers(Load load, String dataCentre, long firstKey) {
		Balancer balancer = new Balancer.OfAll(
				this.site.routers(dataCentre).stream().map((router) -> Route.throughRouter(router.callers())).toList());
		load.rate(6, balancer, (number) -> Sites.chat(number).within(PATIENCE_MILLIS))
			.rate(10, balancer, (number) -> Sites.quote(number).within(PATIENCE_MILLIS))
			.rate(10, balancer, (number) -> Sites.booking(firstKey + number).within(PATIENCE_MILLIS));
	}

	private List<CompletableFuture<Verdict>> book(long firstKey, List<Router> routers) {
		return LongStream.range(firstKey, firstKey + KEYS)
			.boxed()
			.flatMap((number) -> routers.stream()
				.map((router) -> this.repeats.send(Route.throughRouter(router.callers()),
						Sites.booking(number).within(PATIENCE_MILLIS))))
			.toList();
	}

	private void awaitServed(Load load, long since, boolean withKeys) {
		Await.until(() -> "requests to be served since " + since + ": " + load.report().summary(), SECONDS,
				() -> served(load, since, CutDataCentreTest::chat) >= ENOUGH
						&& served(load, since, (verdict) -> !chat(verdict) && !hasKey(verdict)) >= ENOUGH
						&& (!withKeys || served(load, since, CutDataCentreTest::hasKey) >= ENOUGH));
	}

	private void awaitVersion(List<Router> routers) {
		Await.until("the new version", SECONDS,
				() -> routers.stream().allMatch((router) -> Versions.of(router) > this.base));
	}

	private void awaitOldVersion(Router router) {
		Await.until("the old version at " + router.vm(), SECONDS, () -> Versions.of(router) == this.base);
	}

	private long settledAt() {
		return this.cutAt + Judge.IN_FORCE_MILLIS;
	}

	private boolean duringTheCut(Verdict verdict) {
		long endedAt = verdict.startedAt() + verdict.totalNanos() / 1_000_000;
		return verdict.startedAt() >= settledAt() && endedAt < this.healedAt;
	}

	private Deployment reweighted() {
		Deployment deployment = this.site.deployment();
		return deployment.withCustomers(
				List.of(new Deployment.Plan("large", 5, 500), new Deployment.Plan("small", 1, 500)),
				deployment.organisations());
	}

	private static long served(Load load, long since, Predicate<Verdict> kind) {
		return load.report()
			.verdicts()
			.stream()
			.filter((verdict) -> verdict.startedAt() >= since && verdict.completed())
			.filter(kind)
			.count();
	}

	private static boolean chat(Verdict verdict) {
		return verdict.spec().kind() != CallSpec.Kind.CALL;
	}

	private static boolean hasKey(Verdict verdict) {
		return verdict.spec().key().isPresent();
	}

	private static List<Verdict> join(Collection<CompletableFuture<Verdict>> answers) {
		return answers.stream().map(CompletableFuture::join).toList();
	}

	private static void assertWithin(long since) {
		long passed = System.currentTimeMillis() - since;
		Reporter.log("in force after " + passed + " ms", true);
		assertTrue(passed <= Judge.IN_FORCE_MILLIS, "in force after " + passed + " ms");
	}

	private static void assertRefusedAtOnce(Verdict verdict) {
		assertEquals(verdict.result(), Verdict.Result.REFUSED, verdict.toString());
		assertEquals(verdict.reason(), "log-unavailable", verdict.toString());
		assertTrue(verdict.saysNotRun(), verdict.toString());
		assertTrue(verdict.retryAfterMillis().isPresent(), verdict.toString());
		assertTrue(verdict.totalNanos() <= REFUSED_MILLIS * 1_000_000, verdict.toString());
	}

}
