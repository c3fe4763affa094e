package org.ebonyford.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;

import org.ebonyford.directory.Rendezvous;
import org.ebonyford.directory.UpstreamEntry;
import org.ebonyford.retry.SlidingCount;

/**
 * What this router knows of one start of an upstream.
 */
public final class UpstreamState {

	/**
	 * How long in milliseconds a peer's load counts after its message.
	 */
	private static final long PEER_MILLIS = 2_000;

	/**
	 * The weight of a request in the average of how slow the upstream is.
	 */
	private static final double SLOWNESS_WEIGHT = 0.15;

	/**
	 * The bounds of the slowness that a single request may show.
	 */
	private static final double[] SLOWNESS_BOUNDS = { 0.3, 12 };

	/**
	 * The part of the slowness that is forgotten in a second.
	 */
	private static final double FORGOTTEN_PER_SECOND = 0.12;

	/**
	 * The part of an engine's memory that parts of ended requests are believed to keep.
	 */
	private static final double KEPT_PARTS = 0.5;

	/**
	 * What the upstream registered.
	 */
	private UpstreamEntry entry;

	/**
	 * The hash of the identifier.
	 */
	private final long hash;

	/**
	 * The memory of an engine in tokens, 0 if the upstream is none.
	 */
	private final LongSupplier memoryTokens;

	/**
	 * The health.
	 */
	private final UpstreamHealth health = new UpstreamHealth();

	/**
	 * The prompt parts that it keeps.
	 */
	private final PartCache parts;

	/**
	 * The requests that were sent while it was cold.
	 */
	private final SlidingCount coldRequests = new SlidingCount(1_000, 20);

	/**
	 * How much longer than expected its requests take.
	 */
	private final Average slowness = new Average(1, SLOWNESS_WEIGHT);

	/**
	 * The loads that the peers reported, by the peers' name.
	 */
	private final Map<String, PeerLoad> peers = new HashMap<>();

	/**
	 * The load from this router.
	 */
	private Load own = Load.NONE;

	/**
	 * The prompt tokens that this router has sent to the upstream since it is known.
	 */
	private int sentTokens;

	/**
	 * When the upstream has read all prompts that were sent to it, in milliseconds, with
	 * fractions.
	 */
	private double readUntil;

	/**
	 * Until when the upstream is cold, in milliseconds.
	 */
	private long coldUntil;

	/**
	 * When the slowness was last decayed, in milliseconds.
	 */
	private long decayedAt;

	/**
	 * Creates a state without load.
	 * @param entry what the upstream registered
	 * @param memoryTokens the memory of an engine in tokens, 0 if the upstream is none
	 * @param now the time in milliseconds
	 */
	public UpstreamState(UpstreamEntry entry, LongSupplier memoryTokens, long now) {
		this.hash = Rendezvous.hash(entry.id());
		this.memoryTokens = memoryTokens;
		this.parts = new PartCache(() -> (long) (memoryTokens.getAsLong() * KEPT_PARTS));
		this.decayedAt = now;
		update(entry, now);
	}

	/**
	 * Takes over what the same start of the upstream registered anew.
	 * @param registered the entry
	 * @param now the time in milliseconds
	 */
	public void update(UpstreamEntry registered, long now) {
		this.entry = registered;
		this.coldUntil = now + registered.coldMillis();
	}

	/**
	 * Returns what the upstream registered.
	 * @return the entry
	 */
	public UpstreamEntry entry() {
		return this.entry;
	}

	/**
	 * Returns the hash of the identifier.
	 * @return the hash that all routers compute alike
	 */
	public long hash() {
		return this.hash;
	}

	/**
	 * Returns the health.
	 * @return the health, to be told of requests
	 */
	public UpstreamHealth health() {
		return this.health;
	}

	/**
	 * Returns the prompt parts that the upstream is believed to keep.
	 * @return the cache
	 */
	public PartCache parts() {
		return this.parts;
	}

	/**
	 * Returns the memory of an engine.
	 * @return the tokens, 0 if the upstream is no engine
	 */
	public long memoryTokens() {
		return this.memoryTokens.getAsLong();
	}

	/**
	 * Returns whether the upstream is cold.
	 * @param now the time in milliseconds
	 * @return {@code true} while it bears few requests only
	 */
	public boolean cold(long now) {
		return now < this.coldUntil;
	}

	/**
	 * Returns the requests that were sent to it within the last second while it was cold.
	 * @param now the time in milliseconds
	 * @return the number
	 */
	public long coldRequests(long now) {
		return this.coldRequests.sum(now);
	}

	/**
	 * Notes that a request is sent.
	 * @param load its load
	 * @param tokens the prompt tokens that the upstream has to read
	 * @param readMillis the time in milliseconds for reading them
	 * @param now the time in milliseconds
	 */
	public void sent(Load load, int tokens, double readMillis, long now) {
		if (this.own.running() == 0) {
			this.health.busy(now);
		}
		if (cold(now)) {
			this.coldRequests.add(1, now);
		}
		this.own = this.own.plus(load);
		this.sentTokens += tokens;
		queue(readMillis, now);
	}

	/**
	 * Notes that a part of the load is gone.
	 * @param load the part
	 */
	public void relieved(Load load) {
		this.own = this.own.minus(load);
	}

	/**
	 * Returns the load from this router.
	 * @return the load
	 */
	public Load own() {
		return this.own;
	}

	/**
	 * Returns the prompt tokens that this router has sent to the upstream since it is
	 * known. The number overflows; only its growth says something.
	 * @return the number of tokens
	 */
	public int sentTokens() {
		return this.sentTokens;
	}

	/**
	 * Notes the load that a peer reported.
	 * @param peer the name of the peer
	 * @param load the load
	 * @param tokens the prompt tokens that the peer has sent to the upstream since it
	 * knows it
	 * @param millisPerToken the time in milliseconds for reading a token
	 * @param now the time in milliseconds
	 */
	public void peer(String peer, Load load, int tokens, double millisPerToken, long now) {
		PeerLoad before = this.peers.put(peer, new PeerLoad(load, tokens, now));
		int grown = (before != null) ? tokens - before.tokens() : 0;
		if (grown > 0) {
			queue(grown * millisPerToken, now);
		}
	}

	/**
	 * Notes that a peer has no request open at the upstream.
	 * @param peer the name of the peer
	 */
	public void peerIdle(String peer) {
		this.peers.remove(peer);
	}

	/**
	 * Returns how long the upstream still reads prompts that were sent before.
	 * @param now the time in milliseconds
	 * @return the time in milliseconds
	 */
	public double backlogMillis(long now) {
		return Math.max(this.readUntil - now, 0);
	}

	private void queue(double millis, long now) {
		this.readUntil = Math.max(this.readUntil, now) + millis;
	}

	/**
	 * Returns the load from all routers.
	 * @param now the time in milliseconds
	 * @return the sum of what is known
	 */
	public Load total(long now) {
		Load sum = this.own;
		for (PeerLoad peer : this.peers.values()) {
			sum = (now - peer.receivedAt() <= PEER_MILLIS) ? sum.plus(peer.load()) : sum;
		}
		return sum;
	}

	/**
	 * Notes how long a request took.
	 * @param ratio the time against what was expected
	 * @param now the time in milliseconds
	 */
	public void took(double ratio, long now) {
		decay(now);
		this.slowness.add(Math.max(SLOWNESS_BOUNDS[0], Math.min(ratio, SLOWNESS_BOUNDS[1])));
	}

	/**
	 * Returns how much longer than expected requests take.
	 * @param now the time in milliseconds
	 * @return the factor, 1 if nothing is known
	 */
	public double slowness(long now) {
		decay(now);
		return this.slowness.value();
	}

	private void decay(long now) {
		double part = 1 - Math.pow(1 - FORGOTTEN_PER_SECOND, (now - this.decayedAt) / 1_000.0);
		this.slowness.decay(1, Math.max(0, Math.min(part, 1)));
		this.decayedAt = now;
	}

	/**
	 * The load that a peer reported.
	 *
	 * @param load the load
	 * @param tokens the prompt tokens that the peer has sent
	 * @param receivedAt when the report arrived, in milliseconds
	 */
	private record PeerLoad(Load load, int tokens, long receivedAt) {
	}

}
