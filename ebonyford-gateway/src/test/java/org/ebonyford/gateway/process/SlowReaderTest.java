package org.ebonyford.gateway.process;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.ebonyford.catalog.CallerLimits;
import org.ebonyford.gateway.process.FakeUpstream.Script;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against answers that are cut while a caller with a small window is still taking
 * them.
 */
public class SlowReaderTest {

	private static final long GRACE_MILLIS = 8_000;

	private static final int WINDOW_BYTES = 16_384;

	/**
	 * The largest answer that a gateway takes, less its head.
	 */
	private static final int LARGEST_BODY = (4 << 20) - 1_024;

	/**
	 * By when a reader has taken the largest answer.
	 */
	private static final long READING_MILLIS = 5_500;

	private static final int READS = 50;

	private static final long NOTICE_MILLIS = 1_600;

	private static final long IDLE_MILLIS = 700;

	private static final long TICK_MILLIS = 100;

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

	@DataProvider
	public Object[][] sizes() {
		return new Object[][] { { 65_536 }, { 1 << 20 }, { LARGEST_BODY } };
	}

	@Test(dataProvider = "sizes")
	public void testAnswerIsSentToItsEndInAPlannedStop(int size) throws Exception {
		this.fixture.upstream("u1", "opens", Script.ok(body(size)));
		try (Socket socket = connect()) {
			send(socket, request("/open/1", "a", "keep-alive"));
			assertEquals(read(socket, size, 0), size, "the first answer");
			CompletableFuture<Void> end = this.fixture.gateway().shutDown();
			TimeUnit.MILLISECONDS.sleep(NOTICE_MILLIS);
			send(socket, request("/open/1", "b", "keep-alive"));
			CompletableFuture<Integer> taken = CompletableFuture.supplyAsync(() -> read(socket, size, READING_MILLIS),
					THREADS);
			end.get(GRACE_MILLIS, TimeUnit.MILLISECONDS);
			this.fixture.close();
			assertEquals((int) taken.get(GRACE_MILLIS, TimeUnit.MILLISECONDS), size);
		}
	}

	@Test
	public void testStreamIsSentToItsEndInAPlannedStop() throws Exception {
		int events = 60;
		int size = LARGEST_BODY / events / 2;
		this.fixture.upstream("u1", "streams", (request, out, connection) -> {
			StringBuilder text = new StringBuilder(
					Script.head(request, "200 OK", "Seal: s1\r\nTransfer-Encoding: chunked\r\n"));
			for (int id = 1; id <= events; id++) {
				String event = "id: " + id + "\ndata: " + body(size) + "\n\n";
				text.append(Integer.toHexString(event.length())).append("\r\n").append(event).append("\r\n");
			}
			Script.send(out, text + "0\r\n\r\n");
		});
		try (Socket socket = connect()) {
			CompletableFuture<Void> end = this.fixture.gateway().shutDown();
			TimeUnit.MILLISECONDS.sleep(NOTICE_MILLIS);
			send(socket, request("/stream/1", "a", "keep-alive"));
			CompletableFuture<String> taken = CompletableFuture.supplyAsync(() -> readSlowly(socket), THREADS);
			end.get(GRACE_MILLIS, TimeUnit.MILLISECONDS);
			this.fixture.close();
			String answer = taken.get(GRACE_MILLIS, TimeUnit.MILLISECONDS);
			assertTrue(answer.endsWith("\r\n0\r\n\r\n"), answer.length() + " bytes");
		}
	}

	@Test(dataProvider = "sizes")
	public void testAnswerOutlastsTheIdleTimeout(int size) throws Exception {
		this.fixture.limit(new CallerLimits(4_096, 1_000, 500, IDLE_MILLIS));
		this.fixture.upstream("u1", "opens", Script.ok(body(size)));
		try (Socket socket = connect()) {
			send(socket, request("/open/1", "a", "keep-alive"));
			assertEquals(read(socket, size, READING_MILLIS / 2), size);
		}
	}

	@Test(dataProvider = "sizes")
	public void testAnswerIsSentThoughAFurtherRequestWaits(int size) throws Exception {
		this.fixture.upstream("u1", "opens", Script.ok(body(size)));
		try (Socket socket = connect()) {
			send(socket, request("/open/1", "a", "close"));
			TimeUnit.MILLISECONDS.sleep(TICK_MILLIS);
			send(socket, request("/open/1", "b", "close"));
			assertEquals(read(socket, size, READING_MILLIS / 2), size);
		}
	}

	@Test
	public void testAnswerIsSentThoughConnectionsAreClosedForOthers() throws Exception {
		this.fixture.upstream("u1", "opens", Script.ok(body(LARGEST_BODY)));
		List<Socket> others = new ArrayList<>();
		try (Socket socket = connect()) {
			send(socket, request("/open/1", "a", "keep-alive"));
			CompletableFuture<Integer> taken = CompletableFuture
				.supplyAsync(() -> read(socket, LARGEST_BODY, READING_MILLIS), THREADS);
			TimeUnit.MILLISECONDS.sleep(TICK_MILLIS);
			for (int index = 0; index < GatewayFixture.DESCRIPTORS; index++) {
				others.add(this.fixture.connect());
			}
			assertEquals((int) taken.get(GRACE_MILLIS, TimeUnit.MILLISECONDS), LARGEST_BODY);
		}
		finally {
			for (Socket other : others) {
				other.close();
			}
		}
	}

	@Test
	public void testRefusalOfALargeBodyIsReadThoughTheCallerGoesOnSending() throws Exception {
		try (Socket socket = connect()) {
			send(socket, "POST /open/1 HTTP/1.1\r\nHost: acme.example\r\nId: a\r\nContent-Length: 200000\r\n\r\n");
			for (int index = 0; index < 20; index++) {
				send(socket, body(10_000));
				TimeUnit.MILLISECONDS.sleep(TICK_MILLIS / 10);
			}
			assertTrue(new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1)
				.startsWith("HTTP/1.1 413"));
		}
	}

	@Test
	public void testCallerThatReadsNothingIsGivenUpAtItsTimeLimit() throws Exception {
		this.fixture.upstream("u1", "opens", Script.ok(body(LARGEST_BODY)));
		try (Socket socket = connect()) {
			send(socket, request("/open/1", "a", "keep-alive"));
			GatewayFixture.await("the answer waits to be sent",
					() -> this.fixture.metrics().contains("ebonyford_answers_unsent 1"));
			GatewayFixture.await("the caller is given up",
					() -> this.fixture.metrics().contains("ebonyford_answers_unsent 0"));
			assertTrue(read(socket, LARGEST_BODY, 0) < LARGEST_BODY, "the answer does not look complete");
		}
	}

	@Test
	public void testPlannedStopEndsInTimeThoughACallerReadsNothing() throws Exception {
		this.fixture.upstream("u1", "opens", Script.ok(body(LARGEST_BODY)));
		try (Socket socket = connect()) {
			send(socket, request("/open/1", "a", "keep-alive"));
			GatewayFixture.await("the answer waits to be sent",
					() -> this.fixture.metrics().contains("ebonyford_answers_unsent 1"));
			this.fixture.gateway().shutDown().get(GRACE_MILLIS, TimeUnit.MILLISECONDS);
		}
	}

	private static String body(int size) {
		return "x".repeat(size);
	}

	private static String request(String path, String id, String connection) {
		return "GET " + path + " HTTP/1.1\r\nHost: acme.example\r\nId: " + id + "\r\nAuthorization: Bearer "
				+ GatewayFixture.KEY + "\r\nConnection: " + connection + "\r\n\r\n";
	}

	private static void send(Socket socket, String text) throws IOException {
		socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
	}

	private Socket connect() throws IOException {
		InetSocketAddress address = this.fixture.callers();
		Socket socket = new Socket();
		socket.setReceiveBufferSize(WINDOW_BYTES);
		socket.setSoTimeout((int) GRACE_MILLIS);
		socket.connect(address);
		return socket;
	}

	/**
	 * Reads an answer over some time and returns the size of its body, of which there may
	 * be less than announced.
	 */
	private static int read(Socket socket, int size, long millis) {
		try {
			InputStream in = socket.getInputStream();
			StringBuilder head = new StringBuilder();
			for (int next = in.read(); next >= 0; next = in.read()) {
				head.append((char) next);
				if (head.indexOf("\r\n\r\n") >= 0) {
					break;
				}
			}
			int taken = 0;
			for (int part = 1; part <= READS; part++) {
				int wanted = (int) ((long) size * part / READS) - taken;
				int got = in.readNBytes(wanted).length;
				taken += got;
				if (got < wanted) {
					return taken;
				}
				TimeUnit.MILLISECONDS.sleep(millis / READS);
			}
			return taken;
		}
		catch (IOException | InterruptedException ex) {
			return -1;
		}
	}

	private static String readSlowly(Socket socket) {
		try {
			InputStream in = socket.getInputStream();
			StringBuilder text = new StringBuilder();
			byte[] part = in.readNBytes(LARGEST_BODY / READS);
			while (part.length > 0) {
				text.append(new String(part, StandardCharsets.ISO_8859_1));
				TimeUnit.MILLISECONDS.sleep(READING_MILLIS / READS);
				part = in.readNBytes(LARGEST_BODY / READS);
			}
			return text.toString();
		}
		catch (IOException | InterruptedException ex) {
			return "closed: " + ex.getMessage();
		}
	}

}
