package org.ebonyford.router.platform;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.apache.hc.client5.http.impl.async.CloseableHttpAsyncClient;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.ebonyford.effect.Effect;
import org.ebonyford.event.Event;
import org.ebonyford.identity.UpstreamId;
import org.ebonyford.time.Clock;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;

/**
 * Tests {@link LoadPoller}.
 */
public class LoadPollerTest {

	private static final long GENEROUS_SECONDS = 60;

	private static final long INTERVAL_MILLIS = 10;

	private static final long TIMEOUT_MILLIS = 1_000;

	private static final UpstreamId UPSTREAM = new UpstreamId("llm-1");

	private static final String DOCUMENT = "{\"incarnation\":5,\"running\":3,\"completed\":2,\"ageMillis\":1}";

	private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();

	private ScheduledExecutorService scheduler;

	private CloseableHttpAsyncClient client;

	private PlatformStub service;

	@BeforeMethod
	public void open() {
		this.events.clear();
		this.scheduler = Executors.newSingleThreadScheduledExecutor();
		this.client = JsonReader.client(TimeUnit.SECONDS.toMillis(GENEROUS_SECONDS));
		this.service = new PlatformStub(DOCUMENT);
	}

	@AfterMethod(alwaysRun = true)
	public void close() throws IOException {
		this.scheduler.shutdownNow();
		this.service.close();
		this.client.close();
	}

	@Test
	public void testAsksOnAfterEveryFailure() throws Exception {
		watch(Map.of(UPSTREAM, this.service.address()));
		assertEquals(firstReport().report().orElseThrow().running(), 3);
	}

	@Test
	public void testUnusableAddressStopsNoOtherUpstream() throws Exception {
		Map<UpstreamId, String> addresses = new LinkedHashMap<>();
		addresses.put(new UpstreamId("llm-0"), "[1]:8000");
		addresses.put(UPSTREAM, this.service.address());
		watch(addresses);
		assertEquals(firstReport().upstream(), UPSTREAM);
	}

	private void watch(Map<UpstreamId, String> addresses) {
		LoadPoller poller = new LoadPoller(new JsonReader(this.client, new ObjectMapper()), INTERVAL_MILLIS,
				TIMEOUT_MILLIS, this.events::add, Clock.ForSystem.INSTANCE);
		poller.handle(new Effect.WatchUpstreams(addresses));
		poller.start(this.scheduler);
	}

	private Event.LoadReported firstReport() throws InterruptedException {
		Event.LoadReported reported = next();
		while (reported.report().isEmpty()) {
			reported = next();
		}
		return reported;
	}

	private Event.LoadReported next() throws InterruptedException {
		Event event = this.events.poll(GENEROUS_SECONDS, TimeUnit.SECONDS);
		assertNotNull(event, "no report");
		return (Event.LoadReported) event;
	}

}
