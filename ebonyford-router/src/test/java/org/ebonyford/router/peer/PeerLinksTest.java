package org.ebonyford.router.peer;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.ebonyford.effect.Effect;
import org.ebonyford.event.Event;
import org.ebonyford.identity.Incarnation;
import org.ebonyford.identity.VmId;
import org.ebonyford.message.PeerMessage;
import org.ebonyford.time.Clock;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;

/**
 * Tests {@link PeerLinks} together with {@link PeerServer}.
 */
public class PeerLinksTest {

	private static final Incarnation SELF = new Incarnation(new VmId("a"), 1);

	private static final VmId OTHER = new VmId("b");

	private static final long GENEROUS_SECONDS = 120;

	private static final int MAX_UNSENT = 1_000;

	private final BlockingQueue<Event> received = new LinkedBlockingQueue<>();

	private PeerServer server;

	private int port;

	@BeforeMethod
	public void listen() throws Exception {
		this.received.clear();
		this.server = server(0);
		this.port = this.server.start();
	}

	@AfterMethod(alwaysRun = true)
	public void close() {
		this.server.close();
	}

	@Test
	public void testMessagesArriveInOrder() throws Exception {
		try (PeerLinks links = links("secret")) {
			for (int number = 0; number < 100; number++) {
				links.handle(new Effect.ToPeer(OTHER, new PeerMessage.ClaimQuery("c" + number)));
			}
			for (int number = 0; number < 100; number++) {
				assertEquals(next().message(), new PeerMessage.ClaimQuery("c" + number));
			}
		}
	}

	@Test
	public void testSenderIsTold() throws Exception {
		try (PeerLinks links = links("secret")) {
			links.handle(new Effect.ToPeer(OTHER, new PeerMessage.Fetch(1, 2)));
			assertEquals(next().from(), SELF);
		}
	}

	@Test
	public void testWrongSecretIsRejected() throws Exception {
		try (PeerLinks stranger = links("guess"); PeerLinks links = links("secret")) {
			stranger.handle(new Effect.ToPeer(OTHER, new PeerMessage.Fetch(0, 0)));
			links.handle(new Effect.ToPeer(OTHER, new PeerMessage.Fetch(1, 1)));
			assertEquals(next().message(), new PeerMessage.Fetch(1, 1));
			assertNull(this.received.poll(200, TimeUnit.MILLISECONDS));
		}
	}

	@Test
	public void testLinkIsOpenedAnewAfterItsPeerCameBack() throws Exception {
		try (PeerLinks links = links("secret")) {
			links.handle(new Effect.ToPeer(OTHER, new PeerMessage.Fetch(0, 0)));
			next();
			this.server.close();
			this.server = server(this.port);
			this.server.start();
			Event event = null;
			long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(GENEROUS_SECONDS);
			while (event == null && System.nanoTime() < end) {
				links.handle(new Effect.ToPeer(OTHER, new PeerMessage.Fetch(2, 2)));
				event = this.received.poll(50, TimeUnit.MILLISECONDS);
			}
			assertNotNull(event);
		}
	}

	private Event.MessageReceived next() throws InterruptedException {
		return (Event.MessageReceived) this.received.poll(GENEROUS_SECONDS, TimeUnit.SECONDS);
	}

	private PeerServer server(int listenPort) {
		return new PeerServer(settings(listenPort, "secret"), this.received::add, Clock.ForSystem.INSTANCE,
				new MetricRegistry());
	}

	private PeerLinks links(String secret) {
		PeerLinks links = new PeerLinks(SELF, settings(0, secret), new MetricRegistry());
		links.handle(new Effect.ConnectPeers(Map.of(OTHER, "127.0.0.1:" + this.port)));
		return links;
	}

	private static PeerSettings settings(int listenPort, String secret) {
		return new PeerSettings("127.0.0.1", listenPort, secret, Optional.empty(),
				TimeUnit.SECONDS.toMillis(GENEROUS_SECONDS), MAX_UNSENT);
	}

}
