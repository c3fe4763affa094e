package org.ebonyford.gateway.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import io.netty.channel.nio.NioEventLoopGroup;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.ebonyford.time.Clock;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

/**
 * Guards against status checks that are answered by a part of the answer before.
 */
public class HttpCallsTest {

	private static final String HEALTHY = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

	private static final String FAILING = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";

	private final List<Socket> sockets = new CopyOnWriteArrayList<>();

	private NioEventLoopGroup group;

	private ServerSocket server;

	private HttpCalls calls;

	private volatile String afterFirst = "";

	private volatile String beforeSecond = "";

	private volatile boolean silentLater;

	@BeforeMethod
	public void start() throws IOException {
		this.sockets.clear();
		this.afterFirst = "";
		this.beforeSecond = "";
		this.silentLater = false;
		this.group = new NioEventLoopGroup(1);
		this.calls = new HttpCalls(this.group.next(), Clock.ForSystem.INSTANCE);
		this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
		thread(this::accept);
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws IOException {
		this.server.close();
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	@Test
	public void testConnectionIsKept() {
		assertEquals(status(), 200);
		assertEquals(status(), 503);
		assertEquals(this.sockets.size(), 1);
	}

	@Test
	public void testPartOfACopyOnAnIdleConnectionIsNoPartOfTheNextAnswer() throws InterruptedException {
		this.afterFirst = HEALTHY.substring(0, 15);
		assertEquals(status(), 200);
		TimeUnit.MILLISECONDS.sleep(100);
		assertEquals(status(), 503);
		assertEquals(this.sockets.size(), 2);
	}

	@Test
	public void testPartOfACopyOnAConnectionInUseIsNoPartOfTheNextAnswer() {
		this.beforeSecond = HEALTHY.substring(0, 15);
		assertEquals(status(), 200);
		expectThrows(CompletionException.class, this::status);
	}

	@Test
	public void testConnectionThatHasBeenIdleForLongIsNotTrusted() throws InterruptedException {
		this.silentLater = true;
		assertEquals(status(), 200);
		TimeUnit.MILLISECONDS.sleep(HttpCalls.MAX_IDLE_MILLIS + 100);
		assertEquals(status(), 503);
		assertEquals(this.sockets.size(), 2);
	}

	private int status() {
		CompletableFuture<HttpCalls.Answer> answer = new CompletableFuture<>();
		this.group.next()
			.execute(() -> this.calls
				.call(new InetSocketAddress("127.0.0.1", this.server.getLocalPort()), HttpCalls.Call.status("/health"),
						2_000)
				.whenComplete((value, failure) -> {
					if (failure == null) {
						answer.complete(value);
					}
					else {
						answer.completeExceptionally(failure);
					}
				}));
		return answer.join().status();
	}

	private void accept() {
		try {
			while (true) {
				Socket socket = this.server.accept();
				this.sockets.add(socket);
				thread(() -> serve(socket));
			}
		}
		catch (IOException ex) {
			// The test has ended.
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			InputStream in = socket.getInputStream();
			boolean first = this.sockets.size() == 1;
			while (readHead(in)) {
				if (this.silentLater && !first && this.sockets.get(0) == socket) {
					continue;
				}
				String answer = first ? HEALTHY + this.afterFirst : this.beforeSecond + FAILING;
				first = false;
				socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
			}
		}
		catch (IOException ex) {
			// The client has closed the connection.
		}
	}

	private static boolean readHead(InputStream in) throws IOException {
		StringBuilder head = new StringBuilder();
		while (head.indexOf("\r\n\r\n") < 0) {
			int next = in.read();
			if (next < 0) {
				return false;
			}
			head.append((char) next);
		}
		return true;
	}

	private static void thread(Runnable work) {
		Thread thread = new Thread(work, "server");
		thread.setDaemon(true);
		thread.start();
	}

}
