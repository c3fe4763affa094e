package org.ebonyford.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

import org.ebonyford.directory.Rendezvous;
import org.ebonyford.directory.ReportInterval;
import org.ebonyford.directory.UpstreamEntry;
import org.ebonyford.retry.SlidingWindowCounter;
import org.ebonyford.retry.UpstreamRateLimit;

/**
 * This router's view of one start of an upstream: its load, health, prefix cache and
 * slowness.
 */
public final class UpstreamState {

	/**
	 * The weight of a request in the moving average of the slowness.
	 */
	private static final double SLOWNESS_WEIGHT = 0.15;

	/**
	 * The bounds within which the slowness of a single request counts.
	 */
	private static final double[] SLOWNESS_BOUNDS = { 0.3, 12 };

	/**
	 * The fraction by which the slowness decays towards 1 in a second.
	 */
	private static final double SLOWNESS_DECAY_PER_SECOND = 0.12;

	/**
	 * The minimum time in milliseconds between two decays: finer steps change no
	 * decision.
	 */
	private static final long MIN_DECAY_INTERVAL_MILLIS = 50;

	/**
	 * The fraction of an engine's KV cache that is assumed to hold parts of ended
	 * requests. Running requests take the rest.
	 */
	private static final double PREFIX_CACHE_FRACTION = 0.4;

	/**
	 * The registration of the upstream.
	 */
	private UpstreamEntry entry;

	/**
	 * The hash of the identifier.
	 */
	private final long hash;

	/**
	 * The KV cache of an engine in tokens, 0 if the upstream is no engine.
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
	 * The prompt parts that it is assumed to have cached.
	 */
	private final PrefixCache prefixCache;

	/**
	 * The requests that were sent while it was cold.
	 */
	private final SlidingWindowCounter coldRequests = new SlidingWindowCounter(1_000, 20);

	/**
	 * Bounds the requests to it while it announces a limit.
	 */
	private final UpstreamRateLimit rateLimit;

	/**
	 * The ratio of the actual to the expected time of its requests.
	 */
	private final MovingAverage slowness = new MovingAverage(1, SLOWNESS_WEIGHT);

	/**
	 * The pace that it states.
	 */
	private final PresentPace presentPace;

	/**
	 * The loads that the peers reported, by the peers' name.
	 */
	private final Map<String, PeerLoad> peerLoads = new HashMap<>();

	/**
	 * The sum of these loads, so that the cost of a decision does not grow with the
	 * number of peers.
	 */
	private Load peerLoadSum = Load.NONE;

	/**
	 * The time at which the first of these loads expires, in milliseconds.
	 */
	private long firstPeerExpiry = Long.MAX_VALUE;

	/**
	 * The load from all other routers together.
	 */
	private Load otherLoad = Load.NONE;

	/**
	 * The time until which that replaces the peers' reports, in milliseconds.
	 */
	private long otherLoadValidUntil = Long.MIN_VALUE;

	/**
	 * The load from this router.
	 */
	private Load ownLoad = Load.NONE;

	/**
	 * The time until which the upstream is cold, in milliseconds.
	 */
	private long coldUntil;

	/**
	 * The time of the last decay of the slowness, in milliseconds.
	 */
	private long decayedAt;

	/**
	 * Creates a state without load.
	 * @param entry the registration of the upstream
	 * @param memoryTokens the KV cache of an engine in tokens, 0 if the upstream is no
	 * engine
	 * @param routers the number of routers that share it
	 * @param now the time in milliseconds
	 */
	public UpstreamState(UpstreamEntry entry, LongSupplier memoryTokens, IntSupplier routers, long now) {
		this.hash = Rendezvous.hash(entry.id());
		this.rateLimit = new UpstreamRateLimit(entry.id(), now);
		this.memoryTokens = memoryTokens;
		this.routers = routers;
		this.prefixCache = new PrefixCache(
				() -> (long) (memoryTokens.getAsLong() * PREFIX_CACHE_FRACTION / Math.max(routers.getAsInt(), 1)));
		this.decayedAt = now;
		this.presentPace = new PresentPace(now);
		update(entry, now);
	}

	/**
	 * Replaces the registration by a newer one of the same start of the upstream.
	 * @param registered the registration
	 * @param now the time in milliseconds
	 */
	public void update(UpstreamEntry registered, long now) {
		this.entry = registered;
		this.coldUntil = now + registered.coldMillis();
	}

	/**
	 * Returns the registration of the upstream.
	 * @return the registration
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
	 * Returns a shorter hash of the identifier, which reports use to name the upstream.
	 * @return the upper half of the hash
	 */
	public int shortHash() {
		return (int) (this.hash >>> Integer.SIZE);
	}

	/**
	 * Returns the health.
	 * @return the health, which needs the results of requests
	 */
	public UpstreamHealth health() {
		return this.health;
	}

	/**
	 * Returns the prompt parts that the upstream is assumed to have cached.
	 * @return the cache
	 */
	public PrefixCache prefixCache() {
		return this.prefixCache;
	}

	/**
	 * Returns the size of an engine's KV cache.
	 * @return the tokens, 0 if the upstream is no engine
	 */
	public long memoryTokens() {
		return this.memoryTokens.getAsLong();
	}

	/**
	 * Returns whether the upstream is cold.
	 * @param now the time in milliseconds
	 * @return {@code true} while it can take few requests only
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
	 * Returns the bound on the requests to it while it announces a limit.
	 * @return the limit, which counts the requests that are recorded here
	 */
	public UpstreamRateLimit rateLimit() {
		return this.rateLimit;
	}

	/**
	 * Records that a request is sent.
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
		this.rateLimit.recordRequest(now);
		this.ownLoad = this.ownLoad.plus(load);
	}

	/**
	 * Removes a part of the load from this router.
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
	 * Records the load that a peer reported.
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
	 * Records the load from all other routers together, which replaces their single
	 * reports.
	 * @param load the load
	 * @param validUntil the time until which it is valid, in milliseconds
	 */
	public void recordOtherLoad(Load load, long validUntil) {
		this.otherLoad = load;
		this.otherLoadValidUntil = validUntil;
	}

	/**
	 * Returns the load from all routers.
	 * @param now the time in milliseconds
	 * @return the sum of what is known
	 */
	public Load totalLoad(long now) {
		if (now <= this.otherLoadValidUntil) {
			return this.ownLoad.plus(this.otherLoad);
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
	 * Records the time that a request took.
	 * @param ratio the ratio of the actual to the expected time
	 * @param now the time in milliseconds
	 */
	public void recordDuration(double ratio, long now) {
		decay(now);
		this.slowness.add(Math.max(SLOWNESS_BOUNDS[0], Math.min(ratio, SLOWNESS_BOUNDS[1])));
	}

	/**
	 * Returns the ratio of the actual to the expected time of requests at the usual pace
	 * of the upstream.
	 * @param now the time in milliseconds
	 * @return the factor, 1 if nothing is known
	 */
	public double slowness(long now) {
		decay(now);
		return this.slowness.value();
	}

	/**
	 * Records what the upstream states in the head of an answer.
	 * @param reported the load
	 */
	public void recordReported(ReportedLoad reported) {
		reported.pace().ifPresent((pace) -> recordPace(new PaceObservation(pace, reported.observedAt())));
	}

	/**
	 * Records a pace that the upstream stated to this router or to another one.
	 * @param observation the pace
	 */
	public void recordPace(PaceObservation observation) {
		this.presentPace.record(observation);
	}

	/**
	 * Returns the expected pace at present, which {@link #slowness(long)} does not
	 * contain: measured times are divided by it before they are averaged.
	 * @param now the time in milliseconds
	 * @return the time that work takes as a multiple of the usual time, 1 if the upstream
	 * has stated nothing of late
	 */
	public double presentPace(long now) {
		return this.presentPace.factor(now);
	}

	/**
	 * Returns the stated pace that other routers need to know.
	 * @param now the time in milliseconds
	 * @return the newest observation, or empty if the pace has been usual
	 */
	public Optional<PaceObservation> paceUpdate(long now) {
		return this.presentPace.update(now);
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
	 * @param validUntil the time until which it is valid, in milliseconds
	 */
	private record PeerLoad(Load load, long validUntil) {
	}

}
