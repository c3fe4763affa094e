package org.ebonyford.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

import org.ebonyford.directory.Rendezvous;
import org.ebonyford.directory.ReportInterval;
import org.ebonyford.directory.UpstreamEntry;
import org.ebonyford.retry.SlidingWindowCounter;

/**
 * What this router knows of one start of an upstream.
 */
public final class UpstreamState {

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
	private static final double SLOWNESS_DECAY_PER_SECOND = 0.12;

	/**
	 * The least time in milliseconds between two decays: a finer step changes no
	 * decision.
	 */
	private static final long MIN_DECAY_INTERVAL_MILLIS = 50;

	/**
	 * The part of an engine's memory that parts of ended requests are believed to keep.
	 * What runs takes the rest.
	 */
	private static final double PREFIX_CACHE_FRACTION = 0.4;

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
	 * The number of routers.
	 */
	private final IntSupplier routers;

	/**
	 * The health.
	 */
	private final UpstreamHealth health = new UpstreamHealth();

	/**
	 * The prompt parts that it keeps.
	 */
	private final PrefixCache prefixCache;

	/**
	 * The requests that were sent while it was cold.
	 */
	private final SlidingWindowCounter coldRequests = new SlidingWindowCounter(1_000, 20);

	/**
	 * How much longer than expected its requests take.
	 */
	private final MovingAverage slowness = new MovingAverage(1, SLOWNESS_WEIGHT);

	/**
	 * The loads that the peers reported, by the peers' name.
	 */
	private final Map<String, PeerLoad> peerLoads = new HashMap<>();

	/**
	 * The sum of these loads, so that a decision does not take longer with more peers.
	 */
	private Load peerLoadSum = Load.NONE;

	/**
	 * When the first of these loads counts no more, in milliseconds.
	 */
	private long firstPeerExpiry = Long.MAX_VALUE;

	/**
	 * The load from all other routers together.
	 */
	private Load recordOtherLoad = Load.NONE;

	/**
	 * Until when that counts instead of the peers' reports, in milliseconds.
	 */
	private long otherLoadValidUntil = Long.MIN_VALUE;

	/**
	 * The load from this router.
	 */
	private Load ownLoad = Load.NONE;

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
	 * @param routers the number of routers that fill it
	 * @param now the time in milliseconds
	 */
	public UpstreamState(UpstreamEntry entry, LongSupplier memoryTokens, IntSupplier routers, long now) {
		this.hash = Rendezvous.hash(entry.id());
		this.memoryTokens = memoryTokens;
		this.routers = routers;
		this.prefixCache = new PrefixCache(
				() -> (long) (memoryTokens.getAsLong() * PREFIX_CACHE_FRACTION / Math.max(routers.getAsInt(), 1)));
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
	 * Returns a shorter hash of the identifier, by which reports name the upstream.
	 * @return the upper half of the hash
	 */
	public int shortHash() {
		return (int) (this.hash >>> Integer.SIZE);
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
	public PrefixCache prefixCache() {
		return this.prefixCache;
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
	 * @param now the time in milliseconds
	 */
	public void recordSent(Load load, long now) {
		if (this.ownLoad.running() == 0) {
			this.health.recordBusy(now);
		}
		if (cold(now)) {
			this.coldRequests.add(1, now);
		}
		this.ownLoad = this.ownLoad.plus(load);
	}

	/**
	 * Notes that a part of the load is gone.
	 * @param load the part
	 */
	public void removeLoad(Load load) {
		this.ownLoad = this.ownLoad.minus(load);
	}

	/**
	 * Returns the load from this router.
	 * @return the load
	 */
	public Load ownLoad() {
		return this.ownLoad;
	}

	/**
	 * Notes the load that a peer reported.
	 * @param peer the name of the peer
	 * @param load the load
	 * @param now the time in milliseconds
	 */
	public void recordPeerLoad(String peer, Load load, long now) {
		long validUntil = now + ReportInterval.validMillis(this.routers.getAsInt());
		PeerLoad previous = load.equals(Load.NONE) ? this.peerLoads.remove(peer)
				: this.peerLoads.put(peer, new PeerLoad(load, validUntil));
		this.peerLoadSum = this.peerLoadSum.plus(load).minus((previous != null) ? previous.load() : Load.NONE);
		this.firstPeerExpiry = Math.min(this.firstPeerExpiry, validUntil);
	}

	/**
	 * Notes the load from all other routers together, which counts instead of their
	 * reports.
	 * @param load the load
	 * @param validUntil until when it counts, in milliseconds
	 */
	public void recordOtherLoad(Load load, long validUntil) {
		this.recordOtherLoad = load;
		this.otherLoadValidUntil = validUntil;
	}

	/**
	 * Returns the load from all routers.
	 * @param now the time in milliseconds
	 * @return the sum of what is known
	 */
	public Load totalLoad(long now) {
		if (now <= this.otherLoadValidUntil) {
			return this.ownLoad.plus(this.recordOtherLoad);
		}
		if (now > this.firstPeerExpiry) {
			expirePeers(now);
		}
		return this.ownLoad.plus(this.peerLoadSum);
	}

	private void expirePeers(long now) {
		this.peerLoads.values().removeIf((peer) -> now > peer.validUntil());
		this.peerLoadSum = Load.NONE;
		this.firstPeerExpiry = Long.MAX_VALUE;
		this.peerLoads.values().forEach((peer) -> {
			this.peerLoadSum = this.peerLoadSum.plus(peer.load());
			this.firstPeerExpiry = Math.min(this.firstPeerExpiry, peer.validUntil());
		});
	}

	/**
	 * Notes how long a request took.
	 * @param ratio the time against what was expected
	 * @param now the time in milliseconds
	 */
	public void recordDuration(double ratio, long now) {
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
		if (now - this.decayedAt < MIN_DECAY_INTERVAL_MILLIS) {
			return;
		}
		double fraction = 1 - Math.pow(1 - SLOWNESS_DECAY_PER_SECOND, (now - this.decayedAt) / 1_000.0);
		this.slowness.decay(1, Math.max(0, Math.min(fraction, 1)));
		this.decayedAt = now;
	}

	/**
	 * The load that a peer reported.
	 *
	 * @param load the load
	 * @param validUntil until when it counts, in milliseconds
	 */
	private record PeerLoad(Load load, long validUntil) {
	}

}
