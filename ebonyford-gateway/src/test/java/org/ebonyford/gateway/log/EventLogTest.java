package org.ebonyford.gateway.log;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against a log that harms the gateway: lines that are not JSON because of what a
 * caller sent, a repeated event that floods the log, and a stream that blocks (a full
 * pipe or disk) and so stalls the event loop.
 */
public class EventLogTest {

	@Test
	public void testLineIsAJsonObject() {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		EventLog log = new EventLog("r1", () -> 1_234, new PrintStream(out, true));
		log.write(LogLine.of(GatewayEvent.REFUSED).with("request", "a\"b\n").with("status", 503).with("age", 1.5));
		log.flush(1_000);
		await(() -> out.size() > 0);
		assertEquals(out.toString().strip(),
				"{\"at\":1234,\"router\":\"r1\",\"code\":\"EG-0031\",\"event\":\"REFUSED\","
						+ "\"request\":\"a\\\"b\\u000a\",\"status\":503,\"age\":1.50}");
	}

	@Test
	public void testRepeatedLinesAreRateLimitedAndCounted() {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		EventLog log = new EventLog("r1", () -> 1_234, new PrintStream(out, true));
		IntStream.range(0, 5_000).forEach((index) -> log.write(LogLine.of(GatewayEvent.REFUSED)));
		log.write(LogLine.of(GatewayEvent.STORE_LOST));
		await(() -> out.toString().contains("STORE_LOST"));
		long lines = out.toString().lines().count();
		assertTrue(lines <= 101, lines + " lines in one second; expected at most 101");
		assertEquals(log.dropped(), 4_900);
		assertTrue(out.toString().contains("\"dropped\":4900"));
	}

	@Test
	public void testCanWriteReportsTheRateLimit() {
		long[] now = { 1_234 };
		EventLog log = new EventLog("r1", () -> now[0], new PrintStream(new ByteArrayOutputStream(), true));
		IntStream.range(0, 100).forEach((index) -> {
			assertTrue(log.canWrite(GatewayEvent.REFUSED));
			log.write(LogLine.of(GatewayEvent.REFUSED));
		});
		assertFalse(log.canWrite(GatewayEvent.REFUSED));
		assertTrue(log.canWrite(GatewayEvent.BROKEN));
		log.countDropped();
		assertEquals(log.dropped(), 1);
		now[0] = 2_000;
		assertTrue(log.canWrite(GatewayEvent.REFUSED));
	}

	@Test
	public void testBlockedStreamDoesNotDelayWriters() {
		CountDownLatch never = new CountDownLatch(1);
		EventLog log = new EventLog("r1", System::currentTimeMillis, new PrintStream(new OutputStream() {
			@Override
			public void write(int value) throws IOException {
				try {
					never.await();
				}
				catch (InterruptedException ex) {
					throw new IOException(ex);
				}
			}
		}));
		long start = System.nanoTime();
		for (GatewayEvent event : GatewayEvent.values()) {
			IntStream.range(0, 200).forEach((index) -> log.write(LogLine.of(event)));
		}
		assertTrue(System.nanoTime() - start < 1_000_000_000L);
		assertTrue(log.dropped() > 0);
	}

	@Test
	public void testPageListsEachEvent() throws IOException {
		List<String> page = Files.readAllLines(Path.of("../docs/gateway-events.md"));
		for (GatewayEvent event : GatewayEvent.values()) {
			String row = "| `" + event.code() + "` | `" + event + "` | " + event.meaning() + " |";
			assertTrue(page.contains(row), "docs/gateway-events.md lacks the row: " + row);
		}
		assertEquals(page.stream().filter((line) -> line.startsWith("| `EG-")).count(), GatewayEvent.values().length);
	}

	private static void await(BooleanSupplier condition) {
		long end = System.nanoTime() + 5_000_000_000L;
		while (!condition.getAsBoolean()) {
			assertTrue(System.nanoTime() < end, "The condition did not hold within 5 s");
			Thread.onSpinWait();
		}
	}

}
