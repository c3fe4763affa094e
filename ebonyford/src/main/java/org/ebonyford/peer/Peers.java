package org.ebonyford.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

import org.ebonyford.effect.Effect;
import org.ebonyford.effect.Outbox;
import org.ebonyford.identity.Incarnation;
import org.ebonyford.identity.VmId;
import org.ebonyford.message.PeerMessage;

/**
 * Follows the other routers by the messages that they send.
 */
public final class Peers {

	/**
	 * The VM of this router.
	 */
	private final VmId self;

	/**
	 * The times by which peers are judged.
	 */
	private final PeerTimes times;

	/**
	 * Chooses the peers that a heartbeat goes to.
	 */
	private final Audience audience;

	/**
	 * The host and port of each listed peer.
	 */
	private SortedMap<VmId, String> addresses = new TreeMap<>();

	/**
	 * The highest incarnation that was heard of each VM.
	 */
	private final Map<VmId, Long> incarnations = new HashMap<>();

	/**
	 * The clock readings at which the present peers were last heard.
	 */
	private final Map<VmId, Long> heard = new HashMap<>();

	/**
	 * The number of the next heartbeat.
	 */
	private long turn;

	/**
	 * The clock reading at which the next heartbeat is due.
	 */
	private long nextHeartbeat = Long.MIN_VALUE;

	/**
	 * Creates a follower that knows no peer.
	 * @param self the VM of this router
	 * @param times the times by which peers are judged
	 * @param audience chooses the peers that a heartbeat goes to
	 */
	public Peers(VmId self, PeerTimes times, Audience audience) {
		this.self = self;
		this.times = times;
		this.audience = audience;
	}

	/**
	 * Takes the listed routers.
	 * @param listed the host and port of each listed router, this one among them or not
	 * @param outbox takes the effect that links are kept to the listed peers
	 */
	public void listed(Map<VmId, String> listed, Outbox outbox) {
		SortedMap<VmId, String> others = new TreeMap<>(listed);
		others.remove(this.self);
		if (!others.equals(this.addresses)) {
			this.addresses = others;
			outbox.add(new Effect.ConnectPeers(others));
		}
	}

	/**
	 * Takes note that a process was heard.
	 * @param now the clock reading in milliseconds
	 * @param from the process
	 * @return what the message tells about the process
	 */
	public Sighting heard(long now, Incarnation from) {
		Long known = this.incarnations.get(from.vm());
		if (known != null && known > from.number()) {
			return Sighting.ENDED;
		}
		this.incarnations.put(from.vm(), from.number());
		boolean present = this.heard.put(from.vm(), now) != null;
		return (present && known != null && known == from.number()) ? Sighting.KNOWN : Sighting.NEW;
	}

	/**
	 * Sends heartbeats that are due and gives up the peers that were silent for too long.
	 * @param now the clock reading in milliseconds
	 * @param knowledge how recent this router's knowledge is
	 * @param stopping whether this router is about to stop
	 * @param outbox takes the heartbeats
	 * @return the peers that were given up
	 */
	public List<VmId> tick(long now, Knowledge knowledge, boolean stopping, Outbox outbox) {
		if (now >= this.nextHeartbeat) {
			this.nextHeartbeat = now + this.times.heartbeatMillis();
			beat(now, knowledge, stopping, outbox);
		}
		return giveUpSilent(now);
	}

	private void beat(long now, Knowledge knowledge, boolean stopping, Outbox outbox) {
		PeerMessage heartbeat = new PeerMessage.Heartbeat(now, knowledge.controlVersion(), knowledge.listRevision(),
				stopping);
		for (VmId peer : this.audience.select(List.copyOf(this.addresses.keySet()), this.turn)) {
			outbox.add(new Effect.ToPeer(peer, heartbeat));
		}
		this.turn++;
	}

	private List<VmId> giveUpSilent(long now) {
		List<VmId> lost = new ArrayList<>();
		Iterator<Map.Entry<VmId, Long>> entries = this.heard.entrySet().iterator();
		while (entries.hasNext()) {
			Map.Entry<VmId, Long> entry = entries.next();
			if (now - entry.getValue() > this.times.silenceMillis()) {
				lost.add(entry.getKey());
				entries.remove();
			}
		}
		return lost;
	}

	/**
	 * Counts the silence of all peers from now on, since this router itself stood still.
	 * @param now the clock reading in milliseconds
	 */
	public void resumed(long now) {
		this.heard.replaceAll((vm, last) -> now);
		this.nextHeartbeat = now;
	}

	/**
	 * Returns the peers that were heard lately.
	 * @return the VMs in the order of their names
	 */
	public List<VmId> present() {
		return this.heard.keySet().stream().sorted().toList();
	}

	/**
	 * Returns the listed peers.
	 * @return the VMs in the order of their names
	 */
	public List<VmId> all() {
		return List.copyOf(this.addresses.keySet());
	}

}
