package org.ebonyford.router.peer;

import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
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
import org.ebonyford.router.tls.TestAuthority;
import org.ebonyford.time.Clock;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

/**
 * Tests TLS between {@link PeerLinks} and {@link PeerServer}.
 */
public class PeerTlsTest {

	private static final VmId OTHER = new VmId("b");

	private static final String SECRET = "secret";

	private static final String SELF = "127.0.0.1";

	private static final String ELSEWHERE = "127.0.0.2";

	private static final int MESSAGES = 20;

	private static final long QUIET_MILLIS = 1_000;

	private static final long GENEROUS_SECONDS = 60;

	private final BlockingQueue<Event> received = new LinkedBlockingQueue<>();

	private TestAuthority authority;

	private TestAuthority stranger;

	private PeerServer server;

	private int port;

	@BeforeMethod
	public void create() throws IOException {
		this.received.clear();
		this.authority = new TestAuthority("authority");
		this.stranger = new TestAuthority("stranger");
	}

	@AfterMethod(alwaysRun = true)
	public void close() {
		this.server.close();
	}

	@Test
	public void testRoutersOfOneAuthorityReachEachOther() throws Exception {
		listen(identity(this.authority, SELF));
		try (PeerLinks links = links(identity(this.authority, SELF))) {
			assertEquals(heard(List.of(links)), Set.of(0L));
		}
	}

	@Test
	public void testStrangersAreRejected() throws Exception {
		listen(identity(this.authority, SELF));
		try (PeerLinks ofStranger = links(identity(this.stranger, SELF));
				PeerLinks withoutTls = links(Optional.empty());
				PeerLinks trusted = links(identity(this.authority, SELF))) {
			assertEquals(heard(List.of(ofStranger, withoutTls, trusted)), Set.of(2L));
		}
	}

	@Test
	public void testServerOfAStrangerIsNotTrusted() throws Exception {
		assertServerIsNotTrusted(identity(this.stranger, SELF));
	}

	@Test
	public void testServerWithCertificateForAnotherAddressIsNotTrusted() throws Exception {
		assertServerIsNotTrusted(identity(this.authority, ELSEWHERE));
	}

	private void assertServerIsNotTrusted(Optional<PeerSettings.TlsIdentity> wrong) throws Exception {
		listen(wrong);
		try (PeerLinks careful = links(identity(this.authority, SELF))) {
			careful.handle(message(0));
			assertNull(this.received.poll(QUIET_MILLIS, TimeUnit.MILLISECONDS));
		}
	}

	private Set<Long> heard(List<PeerLinks> links) throws InterruptedException {
		Set<Long> numbers = new HashSet<>();
		int count = 0;
		long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(GENEROUS_SECONDS);
		while (count < MESSAGES && System.nanoTime() < end) {
			for (int number = 0; number < links.size(); number++) {
				links.get(number).handle(message(number));
			}
			Event event = this.received.poll(50, TimeUnit.MILLISECONDS);
			if (event != null) {
				count++;
				numbers.add(((PeerMessage.Fetch) ((Event.MessageReceived) event).message()).controlVersion());
			}
		}
		return numbers;
	}

	private static Effect message(long number) {
		return new Effect.ToPeer(OTHER, new PeerMessage.Fetch(number, number));
	}

	private void listen(Optional<PeerSettings.TlsIdentity> identity) throws IOException {
		this.server = new PeerServer(settings(identity), this.received::add, Clock.ForSystem.INSTANCE,
				new MetricRegistry());
		this.port = this.server.start();
	}

	private PeerLinks links(Optional<PeerSettings.TlsIdentity> identity) {
		PeerLinks links = new PeerLinks(new Incarnation(new VmId("a"), 1), settings(identity), new MetricRegistry());
		links.handle(new Effect.ConnectPeers(Map.of(OTHER, SELF + ":" + this.port)));
		return links;
	}

	private static PeerSettings settings(Optional<PeerSettings.TlsIdentity> identity) {
		return new PeerSettings(SELF, 0, SECRET, identity, 1_000, 1_000);
	}

	private Optional<PeerSettings.TlsIdentity> identity(TestAuthority issuer, String address) {
		TestAuthority.Issued issued = issuer.issue(address);
		return Optional.of(new PeerSettings.TlsIdentity(issued.certificate().toFile(), issued.key().toFile(),
				this.authority.certificate().toFile()));
	}

}
