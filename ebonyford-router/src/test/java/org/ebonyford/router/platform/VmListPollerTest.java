package org.ebonyford.router.platform;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.apache.hc.client5.http.impl.async.CloseableHttpAsyncClient;
import org.testng.annotations.Test;

import org.ebonyford.event.Event;
import org.ebonyford.time.Clock;

import static org.testng.Assert.assertEquals;

/**
 * Tests {@link VmListPoller}.
 */
public class VmListPollerTest {

	private static final long GENEROUS_SECONDS = 120;

	private static final long INTERVAL_MILLIS = 10;

	private static final String DOCUMENT = "{\"revision\":7,\"vms\":[{\"vm\":\"a\",\"dataCentre\":\"levi\","
			+ "\"address\":\"x:1\",\"state\":\"live\"}]}";

	@Test
	public void testReadsOnAfterEveryFailure() throws Exception {
		BlockingQueue<Event> events = new LinkedBlockingQueue<>();
		ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
		try (PlatformStub service = new PlatformStub(DOCUMENT);
				CloseableHttpAsyncClient client = JsonReader.client(TimeUnit.SECONDS.toMillis(GENEROUS_SECONDS))) {
			new VmListPoller(new JsonReader(client, new ObjectMapper()), "http://" + service.address(), INTERVAL_MILLIS,
					events::add, Clock.ForSystem.INSTANCE)
				.start(scheduler);
			Event.VmListRead read = (Event.VmListRead) events.poll(GENEROUS_SECONDS, TimeUnit.SECONDS);
			assertEquals(read.list().revision(), 7);
			assertEquals(read.list().entries().size(), 1);
		}
		finally {
			scheduler.shutdownNow();
		}
	}

}
