package org.ebonyford.acceptance;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;

import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.ebonyford.emulator.load.Audit;
import org.ebonyford.emulator.load.CheckingClient;
import org.ebonyford.emulator.load.Route;
import org.ebonyford.emulator.load.Verdict;
import org.ebonyford.emulator.process.Await;
import org.ebonyford.emulator.site.Deployment;
import org.ebonyford.emulator.site.Router;
import org.ebonyford.emulator.site.Site;
import org.ebonyford.emulator.site.StandIns;
import org.ebonyford.emulator.truth.Run;

import static org.testng.Assert.assertTrue;

/**
 * Tests that a call that may not be repeated runs at most once, and that nobody is told
 * otherwise, if its router is killed or frozen at any step between the claim and the
 * answer.
 */
public class ClaimKillTest {

	private static final long SECONDS = 60;

	private static final String PATIENCE = "30 s";

	private static final Set<String> PERHAPS_RAN = Set.of("ran", "unknown");

	private final CheckingClient client = new CheckingClient();

	private final List<Verdict> all = new ArrayList<>();

	private Site site;

	private long calls;

	@BeforeClass
	public void start() {
		Deployment.Pool narrow = Deployment.Pool.services(KeyedCall.NARROW, 1)
			.with((settings) -> settings.limits(1, 1));
		this.site = Site.of(Sites.small().withPool(narrow)).relayed().setting("claims", "patience", PATIENCE).start();
		this.site.routers().forEach(this::awaitServed);
	}

	@AfterClass(alwaysRun = true)
	public void stop() {
		if (this.site != null) {
			this.site.close();
		}
		this.client.close();
	}

	@AfterMethod(alwaysRun = true)
	public void heal() {
		List.of(StandIns.LOG, "booking-core-1", "booking-core-2", KeyedCall.NARROW + "-1")
			.forEach(this.site.standIns()::heal);
		this.site.healCuts();
		this.site.routers().forEach(Router::thaw);
	}

	@DataProvider
	public Object[][] steps() {
		return Stream.of(ClaimStep.values()).map((step) -> new Object[] { step }).toArray(Object[][]::new);
	}

	@Test(dataProvider = "steps")
	public void testRouterKilled(ClaimStep step) {
		int struck = nextStruck();
		KeyedCall call = nextCall(struck);
		step.reach(call);
		this.site.router(struck).kill();
		List<CompletableFuture<Verdict>> repeats = call.send(call.others());
		this.site.restart(struck);
		List<Verdict> learned = join(repeats);
		call.releaseAll();
		this.site.awaitReady();
		learned.addAll(join(call.send(this.site.routers())));
		join(List.of(call.answer()));
		assertAtMostOnce(call, step, learned);
	}

	@Test(dataProvider = "steps", dependsOnMethods = "testRouterKilled", alwaysRun = true)
	public void testRouterFrozenUntilItsClaimLapsed(ClaimStep step) {
		Router struck = this.site.router(nextStruck());
		KeyedCall call = nextCall(this.site.routers().indexOf(struck));
		step.reach(call);
		struck.freeze();
		List<CompletableFuture<Verdict>> repeats = call.send(call.others());
		this.site.listVm(struck.vm(), "gone");
		List<Verdict> learned = join(repeats);
		call.releaseAll();
		struck.thaw();
		learned.addAll(join(call.send(call.others())));
		join(List.of(call.answer()));
		this.site.listVm(struck.vm(), "live");
		awaitServed(struck);
		learned.addAll(join(call.send(this.site.routers())));
		assertAtMostOnce(call, step, learned);
	}

	private int nextStruck() {
		return (int) (this.calls % this.site.routers().size());
	}

	private KeyedCall nextCall(int router) {
		this.calls++;
		return new KeyedCall(this.site, this.client, this.site.router(router), this.calls);
	}

	private void assertAtMostOnce(KeyedCall call, ClaimStep step, List<Verdict> learned) {
		Judge judge = new Judge(this.site);
		long runs = Audit.runs(judge.truths(), Run::key, call.key());
		assertTrue(runs <= 1, call.key() + " ran " + runs + " times: " + learned);
		judge.assertHonest(this.all);
		judge.assertNoFall();
		List<Verdict> wrong = learned.stream().filter((verdict) -> !truthful(verdict, step, runs)).toList();
		assertTrue(wrong.isEmpty(), "told wrongly of a call that ran " + runs + " times: " + wrong);
	}

	private static boolean truthful(Verdict verdict, ClaimStep step, long runs) {
		if (step.known() != ClaimStep.Known.CLAIM) {
			return verdict.completed() && runs == 1;
		}
		return verdict.completed() ? runs == 1 : PERHAPS_RAN.contains(verdict.outcome());
	}

	private List<Verdict> join(Collection<CompletableFuture<Verdict>> answers) {
		List<Verdict> verdicts = new ArrayList<>(answers.stream().map(CompletableFuture::join).toList());
		this.all.addAll(verdicts);
		return verdicts;
	}

	private void awaitServed(Router router) {
		Await.until("bookings to be served by " + router.vm(), SECONDS, () -> {
			this.calls++;
			CompletableFuture<Verdict> answer = this.client.send(Route.throughRouter(router.callers()),
					Sites.booking(this.calls));
			return join(List.of(answer)).get(0).completed();
		});
	}

}
