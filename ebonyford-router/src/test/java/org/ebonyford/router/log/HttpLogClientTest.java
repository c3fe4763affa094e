package org.ebonyford.router.log;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.ebonyford.router.log.LogServiceStub.Fault;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

/**
 * Tests {@link HttpLogClient}.
 */
public class HttpLogClientTest {

	private static final long GENEROUS_MILLIS = 120_000;

	private static final long SHORT_MILLIS = 300;

	private LogServiceStub service;

	private HttpLogClient client;

	@BeforeMethod
	public void open() {
		this.service = new LogServiceStub();
		this.client = HttpLogClient.of(this.service.address(),
				new LogTimeouts(GENEROUS_MILLIS, GENEROUS_MILLIS, GENEROUS_MILLIS));
	}

	@AfterMethod
	public void close() {
		this.client.close();
		this.service.close();
	}

	@Test
	public void testReadsWhatWasAppended() {
		assertEquals(append().join(), Long.valueOf(0));
		assertEquals(append().join(), Long.valueOf(1));
		LogSlice slice = this.client.read("claims", 1, 10, 0).join();
		assertEquals(slice.next(), 2);
		assertEquals(new String(slice.records().get(0).body(), StandardCharsets.UTF_8), "body");
	}

	@Test
	public void testUnavailableServiceTookNoEffect() {
		assertFalse(failure(Fault.UNAVAILABLE).effectPossible());
	}

	@Test
	public void testRefusedConnectionTookNoEffect() {
		this.service.close();
		assertFalse(failure(Fault.NONE).effectPossible());
	}

	@Test
	public void testLostAnswerMayHaveTakenEffect() {
		assertTrue(failure(Fault.LOST).effectPossible());
	}

	@Test
	public void testLostAppendIsNotRepeated() {
		failure(Fault.LOST);
		assertEquals(this.service.records.size(), 1);
	}

	@Test
	public void testSilentServiceMayHaveTakenEffect() {
		this.client.close();
		this.client = HttpLogClient.of(this.service.address(),
				new LogTimeouts(GENEROUS_MILLIS, SHORT_MILLIS, SHORT_MILLIS));
		assertTrue(failure(Fault.SILENT).effectPossible());
	}

	private LogException failure(Fault fault) {
		this.service.fault = fault;
		CompletionException failure = expectThrows(CompletionException.class, () -> append().join());
		return (LogException) failure.getCause();
	}

	private CompletableFuture<Long> append() {
		return this.client.append("claims", "body".getBytes(StandardCharsets.UTF_8));
	}

}
