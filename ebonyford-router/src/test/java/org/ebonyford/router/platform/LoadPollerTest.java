package org.ebonyford.router.platform;

import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.apache.hc.client5.http.impl.async.CloseableHttpAsyncClient;
import org.testng.annotations.Test;

import org.ebonyford.effect.Effect;
import org.ebonyford.event.Event;
import org.ebonyford.identity.UpstreamId;
import org.ebonyford.time.Clock;

import static org.testng.Assert.assertEquals;

/**
 * Tests {@link LoadPoller}.
 */
public class LoadPollerTest {

	private static final long GENEROUS_SECONDS = 120;

	private static final long INTERVAL_MILLIS = 10;

	private static final long TIMEOUT_MILLIS = 1_000;

	private static final UpstreamId UPSTREAM = new UpstreamId("llm-1");

	private static final String DOCUMENT = "{\"incarnation\":5,\"running\":3,\"completed\":2,\"ageMillis\":1}";

	@Test
	public void testAsksOnAfterEveryFailure() throws Exception {
		BlockingQueue<Event> events = new LinkedBlockingQueue<>();
		ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
		try (PlatformStub service = new PlatformStub(DOCUMENT);
				CloseableHttpAsyncClient client = JsonReader.client(TimeUnit.SECONDS.toMillis(GENEROUS_SECONDS))) {
			LoadPoller poller = new LoadPoller(new JsonReader(client, new ObjectMapper()), INTERVAL_MILLIS,
					TIMEOUT_MILLIS, events::add, Clock.ForSystem.INSTANCE);
			poller.handle(new Effect.WatchUpstreams(Map.of(UPSTREAM, service.address())));
			poller.start(scheduler);
			assertEquals(firstReport(events).report().orElseThrow().running(), 3);
		}
		finally {
			scheduler.shutdownNow();
		}
	}

	private static Event.LoadReported firstReport(BlockingQueue<Event> events) throws InterruptedException {
		Event.LoadReported reported = (Event.LoadReported) events.poll(GENEROUS_SECONDS, TimeUnit.SECONDS);
		while (reported.report().isEmpty()) {
			reported = (Event.LoadReported) events.poll(GENEROUS_SECONDS, TimeUnit.SECONDS);
		}
		return reported;
	}

}
