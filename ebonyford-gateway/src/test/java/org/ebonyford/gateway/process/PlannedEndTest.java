package org.ebonyford.gateway.process;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.ebonyford.gateway.process.FakeUpstream.Script;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Callers of a gateway that is asked to end, in calm.
 */
public class PlannedEndTest {

	private static final long GRACE_MILLIS = 8_000;

	private static final long SHORT_GRACE_MILLIS = 4_000;

	/**
	 * For how long the process may still be there once it has ended its work.
	 */
	private static final long LAST_MILLIS = 200;

	private static final long WORK_MILLIS = 2_500;

	/**
	 * When balancers have surely been told that the process ends.
	 */
	private static final long BALANCER_MILLIS = 2_800;

	/**
	 * How often the process looks at its connections.
	 */
	private static final long TICK_MILLIS = 100;

	private static final long PAUSE_MILLIS = 500;

	/**
	 * A thread for each call, so that none waits for another.
	 */
	private static final Executor THREADS = (task) -> FakeUpstream.thread(task);

	private GatewayFixture fixture;

	@BeforeMethod
	public void start() {
		this.fixture = new GatewayFixture(GRACE_MILLIS).configured();
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws IOException {
		this.fixture.close();
	}

	@Test
	public void testNoRequestThatCannotEndIsPassedOnInThePlannedEnd() throws Exception {
		List<FakeUpstream> upstreams = new ArrayList<>();
		for (String name : List.of("u1", "u2", "u3", "u4")) {
			upstreams.add(this.fixture.upstream(name, "pays", (request, out, connection) -> {
				if (request.startsWith("POST")) {
					pause(WORK_MILLIS);
				}
				Script.ok("late").answer(request, out, connection);
			}));
		}
		CompletableFuture<Void> end = this.fixture.gateway().shutDown();
		List<CompletableFuture<String>> calls = new ArrayList<>();
		for (int index = 0; index * PAUSE_MILLIS < GRACE_MILLIS - 1_500; index++) {
			String id = "a" + index;
			calls.add(CompletableFuture.supplyAsync(() -> this.fixture.call("/pay/1", id, ""), THREADS));
			pause(PAUSE_MILLIS);
		}
		end.get(GRACE_MILLIS, TimeUnit.MILLISECONDS);
		int served = 0;
		for (CompletableFuture<String> call : calls) {
			String answer = call.get(LAST_MILLIS, TimeUnit.MILLISECONDS);
			assertTrue(answer.startsWith("HTTP/1.1 200") || answer.startsWith("HTTP/1.1 503"),
					"cut or unknown: " + answer);
			served += answer.startsWith("HTTP/1.1 200") ? 1 : 0;
		}
		long run = upstreams.stream()
			.flatMap((upstream) -> upstream.requests().stream())
			.filter((request) -> request.startsWith("POST"))
			.count();
		assertEquals(run, served, "what is refused has not run");
		assertTrue(served >= 5, "only " + served + " were served");
	}

	@Test
	public void testRequestThatIsOpenAtTheEndIsAnswered() throws Exception {
		this.fixture.close();
		this.fixture = new GatewayFixture(SHORT_GRACE_MILLIS).configured();
		this.fixture.upstream("u1", "pays", Script.silence());
		CompletableFuture<Void> end = this.fixture.gateway().shutDown();
		pause(3 * PAUSE_MILLIS);
		CompletableFuture<String> call = CompletableFuture.supplyAsync(() -> this.fixture.call("/pay/1", "a", ""),
				THREADS);
		end.get(SHORT_GRACE_MILLIS, TimeUnit.MILLISECONDS);
		String answer = call.get(LAST_MILLIS, TimeUnit.MILLISECONDS);
		assertTrue(answer.startsWith("HTTP/1.1 502"), "it may have run: " + answer);
	}

	@Test
	public void testCallerThatHasJustConnectedInThePlannedEndIsAnswered() throws Exception {
		AtomicBoolean begun = new AtomicBoolean();
		this.fixture.upstream("u1", "pays", (request, out, connection) -> {
			if (request.startsWith("POST") && begun.compareAndSet(false, true)) {
				pause(2 * WORK_MILLIS);
			}
			Script.ok("late").answer(request, out, connection);
		});
		CompletableFuture<Void> end = this.fixture.gateway().shutDown();
		CompletableFuture.supplyAsync(() -> this.fixture.call("/pay/1", "a", ""), THREADS);
		pause(BALANCER_MILLIS);
		for (int index = 0; index < 5; index++) {
			try (Socket socket = this.fixture.connect()) {
				pause(TICK_MILLIS);
				socket.getOutputStream()
					.write(GatewayFixture.request("/pay/1", "b" + index, "").getBytes(StandardCharsets.ISO_8859_1));
				String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
				assertTrue(answer.startsWith("HTTP/1.1 200") || answer.startsWith("HTTP/1.1 503"),
						"cut or unknown: " + answer);
			}
		}
		end.get(GRACE_MILLIS, TimeUnit.MILLISECONDS);
	}

	@Test
	public void testRequestThatIsBeingReadAtTheEndIsRefused() throws Exception {
		this.fixture.close();
		this.fixture = new GatewayFixture(SHORT_GRACE_MILLIS).configured();
		String request = GatewayFixture.request("/pay/1", "a", "");
		CompletableFuture<Void> end = this.fixture.gateway().shutDown();
		pause(BALANCER_MILLIS - PAUSE_MILLIS);
		try (Socket socket = this.fixture.connect()) {
			socket.getOutputStream()
				.write(request.substring(0, request.length() - 1).getBytes(StandardCharsets.ISO_8859_1));
			end.get(SHORT_GRACE_MILLIS, TimeUnit.MILLISECONDS);
			String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
			assertTrue(answer.startsWith("HTTP/1.1 503"), "no refusal: " + answer);
		}
	}

	private static void pause(long millis) {
		try {
			TimeUnit.MILLISECONDS.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
