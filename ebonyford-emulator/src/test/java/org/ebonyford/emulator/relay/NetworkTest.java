package org.ebonyford.emulator.relay;

import java.io.IOException;
import java.net.Socket;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;

import org.testng.annotations.Test;

import org.ebonyford.emulator.load.CallSpec;
import org.ebonyford.emulator.load.CheckingClient;
import org.ebonyford.emulator.load.Route;
import org.ebonyford.emulator.load.Verdict;
import org.ebonyford.emulator.site.Deployment;
import org.ebonyford.emulator.truth.Truth;
import org.ebonyford.emulator.upstream.ServiceStandIn;
import org.ebonyford.emulator.upstream.UpstreamSettings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

/**
 * Tests relays and cuts.
 */
public class NetworkTest {

	private static final String SELF = "the test";

	@Test
	public void testCutHoldsWhatPassesOnceItHeals() throws Exception {
		Map<Long, String> processes = Map.of(ProcessHandle.current().pid(), SELF);
		try (Network network = new Network(new ConnectionOwner.ForProcesses(processes));
				CheckingClient client = new CheckingClient();
				ServiceStandIn service = new ServiceStandIn(UpstreamSettings.service("raportti-1"))) {
			Route route = Route.direct(network.relay("raportti-1", service.address()));
			assertTrue(client.send(route, call("open")).join().completed());
			network.cut(SELF, "raportti-1");
			CompletableFuture<Verdict> held = client.send(route, call("cut"));
			assertThrows(TimeoutException.class, () -> held.get(300, TimeUnit.MILLISECONDS));
			assertEquals(((Truth) service.truth(false)).begun(), 1);
			network.heal(SELF, "raportti-1");
			assertTrue(held.get(30, TimeUnit.SECONDS).completed());
			assertEquals(((Truth) service.truth(false)).begun(), 2);
		}
	}

	@Test
	public void testCutIsInForceAtItsReturn() throws Exception {
		CountDownLatch entered = new CountDownLatch(1);
		CountDownLatch released = new CountDownLatch(1);
		ConnectionOwner slow = (from, to) -> {
			entered.countDown();
			await(released);
			return Optional.of(SELF);
		};
		try (Network network = new Network(slow, Runnable::run);
				ServiceStandIn service = new ServiceStandIn(UpstreamSettings.service("raportti-1"));
				Socket connection = connect(network.relay("raportti-1", service.address()))) {
			await(entered);
			CompletableFuture<Void> cut = CompletableFuture.runAsync(() -> network.cut(SELF, "raportti-1"));
			assertThrows(TimeoutException.class, () -> cut.get(300, TimeUnit.MILLISECONDS));
			released.countDown();
			cut.get(30, TimeUnit.SECONDS);
			assertTrue(connection.isConnected());
		}
	}

	@Test
	public void testLookUpHoldsNoOtherConnection() throws Exception {
		AtomicBoolean slow = new AtomicBoolean();
		CountDownLatch lookedUp = new CountDownLatch(1);
		ConnectionOwner owner = (from, to) -> {
			if (slow.get()) {
				await(lookedUp);
			}
			return Optional.of(SELF);
		};
		try (Network network = new Network(owner);
				CheckingClient standing = new CheckingClient();
				CheckingClient opening = new CheckingClient();
				ServiceStandIn service = new ServiceStandIn(UpstreamSettings.service("raportti-1"))) {
			Route route = Route.direct(network.relay("raportti-1", service.address()));
			assertTrue(standing.send(route, call("first")).join().completed());
			slow.set(true);
			CompletableFuture<Verdict> late = opening.send(route, call("late"));
			assertThrows(TimeoutException.class, () -> late.get(300, TimeUnit.MILLISECONDS));
			assertTrue(standing.send(route, call("second")).get(60, TimeUnit.SECONDS).completed());
			lookedUp.countDown();
			assertTrue(late.get(60, TimeUnit.SECONDS).completed());
		}
	}

	private static Socket connect(String address) throws IOException {
		int colon = address.lastIndexOf(':');
		return new Socket(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
	}

	private static void await(CountDownLatch latch) {
		try {
			assertTrue(latch.await(60, TimeUnit.SECONDS));
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static CallSpec call(String content) {
		return CallSpec.call(new Deployment.Organisation("levi", "small"), "raportti", "/reports", content);
	}

}
