package org.ebonyford.peer;

import java.util.List;
import java.util.Map;

import org.testng.annotations.Test;

import org.ebonyford.effect.Effect;
import org.ebonyford.effect.Outbox;
import org.ebonyford.identity.Incarnation;
import org.ebonyford.identity.VmId;
import org.ebonyford.message.PeerMessage;

import static org.testng.Assert.assertEquals;

/**
 * Tests {@link Peers}.
 */
public class PeersTest {

	private static final VmId SELF = new VmId("a");

	private static final VmId OTHER = new VmId("b");

	private final Peers peers = new Peers(SELF, new PeerTimes(100, 500), Audience.ForAll.INSTANCE);

	private final Outbox outbox = new Outbox();

	@Test
	public void testLinksAreKeptToOthersOnly() {
		this.peers.listed(Map.of(SELF, "x:1", OTHER, "x:2"), this.outbox);
		assertEquals(this.outbox.drain(), List.of(new Effect.ConnectPeers(Map.of(OTHER, "x:2"))));
	}

	@Test
	public void testUnchangedListHasNoEffect() {
		Peers unchanged = new Peers(SELF, new PeerTimes(100, 500), Audience.ForAll.INSTANCE);
		unchanged.listed(Map.of(OTHER, "x:2"), new Outbox());
		unchanged.listed(Map.of(OTHER, "x:2"), this.outbox);
		assertEquals(this.outbox.drain(), List.of());
	}

	@Test
	public void testMessageOfEndedProcessIsTold() {
		Peers seen = new Peers(SELF, new PeerTimes(100, 500), Audience.ForAll.INSTANCE);
		assertEquals(seen.heard(0, new Incarnation(OTHER, 2)), Sighting.NEW);
		assertEquals(seen.heard(0, new Incarnation(OTHER, 2)), Sighting.KNOWN);
		assertEquals(seen.heard(0, new Incarnation(OTHER, 1)), Sighting.ENDED);
		assertEquals(seen.heard(0, new Incarnation(OTHER, 3)), Sighting.NEW);
	}

	@Test
	public void testSilentPeerIsGivenUpOnceAndComesBackAsNew() {
		Peers silent = new Peers(SELF, new PeerTimes(100, 500), Audience.ForAll.INSTANCE);
		Knowledge nothing = new Knowledge(-1, -1);
		silent.heard(0, new Incarnation(OTHER, 1));
		assertEquals(silent.tick(500, nothing, false, this.outbox), List.of());
		assertEquals(silent.tick(501, nothing, false, this.outbox), List.of(OTHER));
		assertEquals(silent.tick(502, nothing, false, this.outbox), List.of());
		assertEquals(silent.heard(503, new Incarnation(OTHER, 1)), Sighting.NEW);
	}

	@Test
	public void testPauseDoesNotCountAsSilence() {
		Peers paused = new Peers(SELF, new PeerTimes(100, 500), Audience.ForAll.INSTANCE);
		paused.heard(0, new Incarnation(OTHER, 1));
		paused.resumed(10_000);
		assertEquals(paused.tick(10_001, new Knowledge(-1, -1), false, this.outbox), List.of());
	}

	@Test
	public void testHeartbeatTellsKnowledge() {
		Peers beating = new Peers(SELF, new PeerTimes(100, 500), Audience.ForAll.INSTANCE);
		Outbox beats = new Outbox();
		beating.listed(Map.of(OTHER, "x:2"), new Outbox());
		beating.tick(7, new Knowledge(3, 4), true, beats);
		beating.tick(8, new Knowledge(3, 4), true, beats);
		assertEquals(beats.drain(), List.of(new Effect.ToPeer(OTHER, new PeerMessage.Heartbeat(7, 3, 4, true))));
	}

}
