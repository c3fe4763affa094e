package org.ebonyford.emulator.upstream;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.ebonyford.emulator.fault.Fault;
import org.ebonyford.emulator.load.CallSpec;
import org.ebonyford.emulator.load.CheckingClient;
import org.ebonyford.emulator.load.Route;
import org.ebonyford.emulator.load.Verdict;
import org.ebonyford.emulator.process.Await;
import org.ebonyford.emulator.site.Deployment;
import org.ebonyford.emulator.truth.Run;
import org.ebonyford.emulator.truth.Truth;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests the engine stand-in and, by its faults, the client that checks answers.
 */
public class EngineStandInTest {

	private static final Deployment.Organisation ORGANISATION = new Deployment.Organisation("paws", "small");

	private final CheckingClient client = new CheckingClient();

	private EngineStandIn engine;

	@BeforeMethod
	public void start() {
		this.engine = new EngineStandIn(UpstreamSettings.engine("llm-1").limits(2, 4).pace(2_000));
	}

	@AfterMethod
	public void stop() {
		this.engine.close();
	}

	@Test
	public void testCompletesPlainAndStreamed() {
		Verdict plain = ask("diet of a dog [tokens=20]", false);
		Verdict streamed = ask("diet of a cat [tokens=20]", true);
		assertTrue(plain.completed(), plain.toString());
		assertTrue(streamed.completed(), streamed.toString());
		assertEquals(truth().completed(), 2);
		assertEquals(truth().served().get("paws"), (Long) (plain.cost() + streamed.cost()));
	}

	@Test
	public void testFallsOverAboveWhatItBears() {
		List<CompletableFuture<Verdict>> answers = IntStream.range(0, 3)
			.mapToObj((index) -> send("walk " + index + " [tokens=100000]", false))
			.toList();
		answers.forEach((answer) -> assertEquals(answer.join().result(), Verdict.Result.BROKEN));
		assertEquals(truth().falls(), 1);
		assertEquals(truth().overloads().get(0).running(), 3);
		assertEquals(truth().overloads().get(0).bore(), 2);
	}

	@Test
	public void testWarmsWithCompletions() {
		assertEquals(truth().bears(), 2);
		ask("one [tokens=2]", false);
		ask("two [tokens=2]", false);
		ask("three [tokens=2]", false);
		assertEquals(truth().bears(), 4);
		this.engine.order("restart", new byte[0]);
		assertEquals(truth().bears(), 2);
	}

	@Test
	public void testMarkedRequestCrashes() {
		assertEquals(ask("[crash]", false).result(), Verdict.Result.BROKEN);
		assertEquals(truth().crashes(), 1);
		assertEquals(truth().runs().get(0).ending(), Run.Ending.CRASHED);
	}

	@Test
	public void testFaultsShowToTheClient() {
		assertEquals(struck(Fault.Kind.TRUNCATED, false).result(), Verdict.Result.BROKEN);
		assertEquals(struck(Fault.Kind.TRUNCATED, true).result(), Verdict.Result.TRUNCATED);
		assertEquals(struck(Fault.Kind.CROSSED, false).result(), Verdict.Result.CROSSED);
		assertEquals(struck(Fault.Kind.CROSSED, true).result(), Verdict.Result.CROSSED);
		assertEquals(struck(Fault.Kind.RESET, true).result(), Verdict.Result.BROKEN);
		assertEquals(struck(Fault.Kind.LOST, false).result(), Verdict.Result.BROKEN);
		assertEquals(struck(Fault.Kind.DECLINE, false).status(), 503);
		assertTrue(struck(Fault.Kind.STALL, true).completed());
		assertTrue(struck(Fault.Kind.LATE, false).completed());
		Await.until("all runs to end", 120, () -> truth().running() == 0);
		assertEquals(truth().declined(), 1);
		assertEquals(truth().begun(), 8);
	}

	@Test
	public void testCountsWorkBegunAfterLeave() {
		ask("before [tokens=2]", false);
		this.engine.order("leave", new byte[0]);
		ask("after [tokens=2]", false);
		assertEquals(truth().begunAfterLeave().size(), 1);
		assertTrue(truth().begunAfterLeave().get(0) >= truth().leftAt());
	}

	private Verdict struck(Fault.Kind kind, boolean streamed) {
		this.engine.faults().add(Fault.of(kind).forCalls(1).delayedBy(50));
		return ask(kind + " [tokens=20]", streamed);
	}

	private Verdict ask(String prompt, boolean streamed) {
		return send(prompt, streamed).join();
	}

	private CompletableFuture<Verdict> send(String prompt, boolean streamed) {
		return this.client.send(Route.direct(this.engine.address()),
				CallSpec.chat(ORGANISATION, "llm", prompt, streamed));
	}

	private Truth truth() {
		return (Truth) this.engine.truth(true);
	}

}
