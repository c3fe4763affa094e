package org.ebonyford.emulator.relay;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

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

	private static CallSpec call(String content) {
		return CallSpec.call(new Deployment.Organisation("levi", "small"), "raportti", "/reports", content);
	}

}
