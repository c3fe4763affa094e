package org.ebonyford.emulator.platform;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.ebonyford.emulator.fault.Fault;
import org.ebonyford.emulator.http.Json;
import org.ebonyford.emulator.process.Await;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

/**
 * Tests the log stand-in.
 */
public class LogStandInTest {

	private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private LogStandIn log;

	@BeforeMethod
	public void start() {
		this.log = new LogStandIn("log", 0, new LogStandIn.Retention(3_600_000, 3), 10_000);
	}

	@AfterMethod
	public void stop() {
		this.log.close();
	}

	@Test
	public void testKeepsTheNewestRecords() throws Exception {
		for (int index = 0; index < 5; index++) {
			assertEquals(Json.tree(append("r" + index).body()).path("offset").asInt(), index);
		}
		JsonNode slice = read("from=0&limit=2");
		assertEquals(slice.path("first").asInt(), 2);
		assertEquals(slice.path("next").asInt(), 4);
		assertEquals(slice.path("end").asInt(), 5);
		assertEquals(slice.path("records").path(0).path("offset").asInt(), 2);
	}

	@Test
	public void testReadWaitsForARecord() throws Exception {
		CompletableFuture<HttpResponse<byte[]>> waiting = this.client.sendAsync(
				HttpRequest.newBuilder(uri("from=0&limit=9&wait=20000")).build(),
				HttpResponse.BodyHandlers.ofByteArray());
		append("late");
		assertEquals(Json.tree(waiting.join().body()).path("next").asInt(), 1);
	}

	@Test
	public void testLostAnswerTakesEffectAndOutageDoesNot() throws Exception {
		this.log.faults().add(Fault.of(Fault.Kind.LOST).on(LogStandIn.APPEND).forCalls(1));
		assertThrows(IOException.class, () -> append("lost"));
		this.log.faults().add(Fault.of(Fault.Kind.OUTAGE).on(LogStandIn.APPEND).forCalls(1));
		assertEquals(append("refused").statusCode(), 503);
		JsonNode slice = read("from=0&limit=9");
		assertEquals(slice.path("end").asInt(), 1);
		assertEquals(new String(slice.path("records").path(0).path("body").binaryValue(), StandardCharsets.UTF_8),
				"lost");
	}

	@Test
	public void testHeldAppendTakesEffectWhenFaultsAreOff() throws Exception {
		this.log.faults().add(Fault.of(Fault.Kind.HELD).on(LogStandIn.APPEND + "/claims").forCalls(1));
		CompletableFuture<HttpResponse<byte[]>> held = appendAsync("held");
		Await.until("the append to be held", 60, () -> this.log.faults().state().held() == 1);
		assertEquals(Json.tree(append("first").body()).path("offset").asInt(), 0);
		this.log.faults().clear();
		assertEquals(Json.tree(held.join().body()).path("offset").asInt(), 1);
	}

	@Test
	public void testHeldAnswerFollowsItsEffect() throws Exception {
		this.log.faults().add(Fault.of(Fault.Kind.HELD_ANSWER).on(LogStandIn.APPEND).forCalls(1));
		CompletableFuture<HttpResponse<byte[]>> held = appendAsync("held");
		Await.until("the answer to be held", 60, () -> this.log.faults().state().held() == 1);
		assertEquals(read("from=0&limit=9").path("end").asInt(), 1);
		this.log.faults().clear();
		assertEquals(Json.tree(held.join().body()).path("offset").asInt(), 0);
	}

	@Test
	public void testFaultOfAnotherStreamStrikesNothing() throws Exception {
		this.log.faults().add(Fault.of(Fault.Kind.OUTAGE).on(LogStandIn.APPEND + "/control"));
		assertEquals(append("taken").statusCode(), 201);
	}

	private CompletableFuture<HttpResponse<byte[]>> appendAsync(String body) {
		return this.client.sendAsync(
				HttpRequest.newBuilder(uri("")).POST(HttpRequest.BodyPublishers.ofString(body)).build(),
				HttpResponse.BodyHandlers.ofByteArray());
	}

	private HttpResponse<byte[]> append(String body) throws IOException, InterruptedException {
		HttpRequest request = HttpRequest.newBuilder(uri("")).POST(HttpRequest.BodyPublishers.ofString(body)).build();
		return this.client.send(request, HttpResponse.BodyHandlers.ofByteArray());
	}

	private JsonNode read(String query) throws IOException, InterruptedException {
		HttpRequest request = HttpRequest.newBuilder(uri(query)).build();
		return Json.tree(this.client.send(request, HttpResponse.BodyHandlers.ofByteArray()).body());
	}

	private URI uri(String query) {
		return URI.create("http://" + this.log.address() + "/streams/claims/records?" + query);
	}

}
