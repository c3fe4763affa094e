package org.ebonyford.gateway.http;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import org.testng.annotations.Test;

import org.ebonyford.placement.ConnectionShare;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against answers that hold bytes of a second copy of an earlier one, whatever its
 * framing and wherever it breaks off.
 */
public class RandomCutsTest {

	private static final int PLAYS = 100_000;

	private static final String[] STATUSES = { "200 OK", "201 Created", "204 No Content", "400 Bad Request",
			"421 Misdirected Request", "500 Internal Server Error", "503 Service Unavailable" };

	private static final String[] BODIES = { "", "x", "a body", "{\"a\":1}\r\n", "event: a\r\nid: 1\r\ndata: b\r\n\r\n",
			"HTTP/1.1 200 OK\r\n", "0\r\n\r\n", "Id: b\r\n\r\n" };

	@Test
	public void testAnswersHoldNoBytesOfACopyThatBrokeOff() {
		long seed = Long.getLong("cuts.seed", System.nanoTime());
		System.out.println("RandomCutsTest: -Dcuts.seed=" + seed);
		Random random = new Random(seed);
		List<String> wrong = new ArrayList<>();
		int whole = 0;
		for (int play = 0; play < PLAYS; play++) {
			Play played = new Play(random);
			String outcome = played.run();
			played.channel.finishAndReleaseAll();
			whole += outcome.equals(played.next.expected()) ? 1 : 0;
			if (!outcome.equals(played.next.expected()) && !outcome.startsWith("failed")) {
				wrong.add(played + " -> " + outcome);
			}
		}
		assertEquals(wrong.size(), 0, "seed " + seed + ": " + wrong.stream().limit(5).toList());
		assertTrue(whole > 0, "no answer was whole");
	}

	@Test
	public void testSoundAnswersComeWholeOnOneConnection() {
		Random random = new Random(1);
		Play play = new Play(random);
		for (int index = 0; index < 1_000; index++) {
			Answer answer = new Answer(random, "id" + index, true);
			assertEquals(play.ask(answer.id, List.of(answer.text())), answer.expected());
			assertTrue(play.channel.isActive(), answer.text());
		}
	}

	/**
	 * An answer of an upstream.
	 */
	private static final class Answer {

		private final String id;

		private final String status;

		private final TreeMap<String, String> headers = new TreeMap<>();

		private final boolean idFirst;

		private final boolean chunked;

		private final List<String> chunks = new ArrayList<>();

		Answer(Random random, String id, boolean sound) {
			this.id = id;
			this.status = STATUSES[random.nextInt(STATUSES.length)];
			boolean empty = this.status.startsWith("204");
			int parts = empty ? 0 : random.nextInt(4);
			for (int part = 0; part < parts; part++) {
				String body = BODIES[random.nextInt(BODIES.length)];
				if (!body.isEmpty()) {
					this.chunks.add(body);
				}
			}
			this.chunked = !empty && random.nextBoolean();
			this.idFirst = random.nextBoolean();
			this.headers.put("Seal", "s-" + id);
			if (random.nextBoolean()) {
				this.headers.put("Not-Run", "1");
			}
			if (random.nextInt(3) == 0) {
				this.headers.put("Load", "1,2,3");
			}
			if (!sound && random.nextInt(4) == 0) {
				this.headers.put("Connection", "close");
			}
		}

		private String text() {
			StringBuilder text = new StringBuilder("HTTP/1.1 " + this.status + "\r\n");
			String named = "Id: " + this.id + "\r\n";
			text.append(this.idFirst ? named : "");
			this.headers.forEach((name, value) -> text.append(name).append(": ").append(value).append("\r\n"));
			String body = String.join("", this.chunks);
			if (!this.status.startsWith("204")) {
				text.append(
						this.chunked ? "Transfer-Encoding: chunked\r\n" : "Content-Length: " + body.length() + "\r\n");
			}
			text.append(this.idFirst ? "" : named).append("\r\n");
			if (this.chunked) {
				this.chunks.forEach((chunk) -> text.append(Integer.toHexString(chunk.length()))
					.append("\r\n")
					.append(chunk)
					.append("\r\n"));
				return text.append("0\r\n\r\n").toString();
			}
			return text.append(body).toString();
		}

		private String expected() {
			return this.status.substring(0, 3) + " " + this.id + " " + this.headers + " "
					+ String.join("", this.chunks);
		}

	}

	/**
	 * A connection that carries two requests, with a part of a second copy of the first
	 * answer beside the second one.
	 */
	private static final class Play {

		private final Random random;

		private final Answer earlier;

		private final Answer next;

		private final String copy;

		private final int moment;

		private final EmbeddedChannel channel = new EmbeddedChannel();

		private final ConnectionPool pool = new ConnectionPool(null, System::currentTimeMillis,
				new InetSocketAddress(0), () -> new ConnectionShare(10, 10), () -> {
				});

		private final UpstreamConnection connection = new UpstreamConnection(System::currentTimeMillis, this.pool);

		private boolean used;

		Play(Random random) {
			this.random = random;
			this.earlier = new Answer(random, "a", true);
			this.next = new Answer(random, "b", false);
			String text = this.earlier.text();
			this.copy = text.substring(0, 1 + random.nextInt(text.length()));
			this.moment = random.nextInt(4);
			this.connection.addTo(this.channel.pipeline());
		}

		private String run() {
			boolean atOnce = this.moment == 0;
			String first = ask("a", List.of(this.earlier.text() + (atOnce ? this.copy : "")));
			assertEquals(first, this.earlier.expected(), toString());
			if (this.moment == 1 && this.channel.isActive()) {
				write(this.copy);
				assertFalse(this.channel.isActive(), "an idle connection on which bytes came is kept: " + this);
			}
			if (!this.channel.isActive()) {
				return "failed: closed";
			}
			return switch (this.moment) {
				case 2 -> ask("b", List.of(this.copy, this.next.text()));
				case 3 -> ask("b", List.of(this.copy + this.next.text()));
				default -> ask("b", List.of(this.next.text()));
			};
		}

		private String ask(String id, List<String> texts) {
			Outcome outcome = new Outcome(id, this.connection);
			FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/",
					Unpooled.EMPTY_BUFFER);
			if (this.used) {
				this.pool.acquire(false, (kept) -> kept.send(request, outcome), outcome::unreachable);
			}
			else {
				this.connection.send(request, outcome);
			}
			this.used = true;
			this.channel.releaseOutbound();
			texts.forEach(this::write);
			return outcome.text();
		}

		/**
		 * Writes bytes in pieces of random sizes, each of which is read at once.
		 */
		private void write(String text) {
			byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
			int from = 0;
			while (from < bytes.length && this.channel.isActive()) {
				int size = (this.random.nextInt(3) == 0) ? bytes.length - from
						: Math.min(bytes.length - from, 1 + this.random.nextInt(40));
				this.channel.writeInbound(Unpooled.copiedBuffer(bytes, from, size));
				from += size;
			}
		}

		@Override
		public String toString() {
			return (this.earlier.text() + " | " + this.moment + " | " + this.copy + " | " + this.next.text())
				.replace("\r\n", "~");
		}

	}

	/**
	 * Takes an answer as the requests of a gateway do.
	 */
	private static final class Outcome implements UpstreamListener {

		private final String id;

		private final UpstreamConnection connection;

		private final StringBuilder body = new StringBuilder();

		private String head = "";

		private String end = "failed: no answer";

		Outcome(String id, UpstreamConnection connection) {
			this.id = id;
			this.connection = connection;
		}

		private void unreachable(String reason) {
			this.end = "failed: " + reason;
		}

		private String text() {
			return this.end.equals("whole") ? this.head + this.body : this.end;
		}

		@Override
		public boolean foreign(HttpResponse response) {
			String echoed = response.headers().get("Id", "");
			return !echoed.isEmpty() && !echoed.equals(this.id);
		}

		@Override
		public void head(HttpResponse response) {
			if (!response.headers().contains("Id") && !this.connection.first()) {
				this.end = "failed: no identifier";
				this.connection.close();
				return;
			}
			TreeMap<String, String> headers = new TreeMap<>();
			response.headers()
				.entries()
				.stream()
				.filter((header) -> !header.getKey().matches("Id|Content-Length|Transfer-Encoding"))
				.forEach((header) -> headers.merge(header.getKey(), header.getValue(), (one, two) -> one + ", " + two));
			this.head = response.status().code() + " " + String.join(", ", response.headers().getAll("Id")) + " "
					+ headers + " ";
		}

		@Override
		public void content(ByteBuf content) {
			this.body.append(content.toString(StandardCharsets.ISO_8859_1));
		}

		@Override
		public void complete() {
			this.end = "whole";
		}

		@Override
		public void broken(String reason, boolean closed) {
			this.end = "failed: " + reason;
		}

	}

}
