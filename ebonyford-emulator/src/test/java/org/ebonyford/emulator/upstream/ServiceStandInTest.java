package org.ebonyford.emulator.upstream;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.ebonyford.emulator.fault.Fault;
import org.ebonyford.emulator.load.Audit;
import org.ebonyford.emulator.load.CallSpec;
import org.ebonyford.emulator.load.CheckingClient;
import org.ebonyford.emulator.load.Route;
import org.ebonyford.emulator.load.Verdict;
import org.ebonyford.emulator.process.Await;
import org.ebonyford.emulator.site.Deployment;
import org.ebonyford.emulator.truth.Truth;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests the service stand-in.
 */
public class ServiceStandInTest {

	private static final Deployment.Organisation ORGANISATION = new Deployment.Organisation("levi", "small");

	private final CheckingClient client = new CheckingClient();

	private ServiceStandIn service;

	@BeforeMethod
	public void start() {
		this.service = new ServiceStandIn(UpstreamSettings.service("raportti-1"));
	}

	@AfterMethod
	public void stop() {
		this.service.close();
	}

	@Test
	public void testCountsRunsByKey() {
		Verdict first = file("report-1");
		Verdict second = file("report-1");
		Verdict other = file("report-2");
		assertTrue(first.completed() && second.completed() && other.completed());
		assertEquals(truth().repeatedKeys(), List.of("report-1"));
		assertFalse(Audit.of(List.of(first, second, other), List.of(truth())).clean());
	}

	@Test
	public void testFaultsShowToTheClient() {
		this.service.faults().add(Fault.of(Fault.Kind.CROSSED).forCalls(1));
		assertEquals(file("a").result(), Verdict.Result.CROSSED);
		this.service.faults().add(Fault.of(Fault.Kind.LOST).forCalls(1));
		assertEquals(file("b").result(), Verdict.Result.BROKEN);
		this.service.faults().add(Fault.of(Fault.Kind.UNREACHABLE).forCalls(1));
		assertEquals(file("c").result(), Verdict.Result.BROKEN);
		assertEquals(truth().runs().stream().map((run) -> run.key()).toList(), List.of("a", "b"));
	}

	@Test
	public void testHeldCallRunsWhenFaultsAreOff() {
		this.service.faults().add(Fault.of(Fault.Kind.HELD).forCalls(1));
		CompletableFuture<Verdict> held = send("a");
		Await.until("the call to be held", 60, () -> this.service.faults().state().held() == 1);
		assertEquals(truth().begun(), 0);
		this.service.faults().clear();
		assertTrue(held.join().completed());
	}

	@Test
	public void testHeldAnswerFollowsItsRun() {
		this.service.faults().add(Fault.of(Fault.Kind.HELD_ANSWER).forCalls(1));
		CompletableFuture<Verdict> held = send("a");
		Await.until("the answer to be held", 60, () -> this.service.faults().state().held() == 1);
		assertEquals(truth().completed(), 1);
		assertFalse(held.isDone());
		this.service.faults().clear();
		assertTrue(held.join().completed());
	}

	private Verdict file(String key) {
		return send(key).join();
	}

	private CompletableFuture<Verdict> send(String key) {
		return this.client.send(Route.direct(this.service.address()),
				CallSpec.call(ORGANISATION, "raportti", "/reports?station=7", "84 cm").once(key));
	}

	private Truth truth() {
		return (Truth) this.service.truth(true);
	}

}
