package org.ebonyford.suspect;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;

import org.ebonyford.effect.Effect;
import org.ebonyford.effect.Outbox;
import org.ebonyford.identity.Fingerprint;
import org.ebonyford.identity.Incarnation;
import org.ebonyford.identity.UpstreamId;
import org.ebonyford.identity.VmId;
import org.ebonyford.log.LogEvent;
import org.ebonyford.message.PeerMessage;

/**
 * Finds requests that crash every upstream that runs them, so that the router refuses
 * them.
 *
 * <p>
 * Each crash assigns a blame of 1 to the requests that were running on the upstream,
 * divided in proportion to their {@link BlameWeights}. A request is suspected once its
 * blame reaches the threshold. The threshold doubles for a request that does not outweigh
 * all others of the crash together, and rises further if upstreams also crash without the
 * request. A request that completes is cleared, and its share of the blame passes to the
 * others. A crash is retracted if the upstream later reports the same incarnation, or if
 * bytes keep arriving on a connection that was opened before the crash.
 */
public final class SuspectTracker {

	/**
	 * Identifies this router among the routers that report crashes.
	 */
	private static final VmId THIS_ROUTER = new VmId("(this router)");

	/**
	 * The maximum time in milliseconds after a crash for which bytes that the upstream
	 * sent before it may still be read: many round trips and several long turns of an
	 * event loop.
	 */
	private static final long MAX_IN_FLIGHT_MILLIS = 500;

	/**
	 * The factor on the blame threshold for a request that does not outweigh all others
	 * of its crash together.
	 */
	private static final int NO_MAJORITY_FACTOR = 2;

	/**
	 * The increase of the blame threshold, as a multiple of it, for each crash without
	 * the request per crash with it.
	 */
	private static final double BACKGROUND_CRASH_FACTOR = 2;

	/**
	 * The tolerance for rounding errors when blame is compared with the threshold.
	 */
	private static final double ROUNDING_TOLERANCE = 1e-9;

	/**
	 * The settings.
	 */
	private final SuspectSettings settings;

	/**
	 * The remembered crashes, the oldest first.
	 */
	private final LinkedHashMap<Crash.Key, Crash> crashes = new LinkedHashMap<>();

	/**
	 * The crashes that are not yet evaluated, with the clock reading in milliseconds at
	 * which evaluation is due.
	 */
	private final Map<Crash, Long> evaluationDueMillis = new LinkedHashMap<>();

	/**
	 * The retracted crashes, the oldest first. Stored evidence that is read later does
	 * not restore them.
	 */
	private final Set<Crash.Key> retracted = new LinkedHashSet<>();

	/**
	 * The crashes to evaluate again since a request was cleared or another crash was
	 * retracted. Requests do not wait for this evaluation.
	 */
	private final Set<Crash> toReevaluate = new LinkedHashSet<>();

	/**
	 * The number of remembered crashes that each request was part of.
	 */
	private final Map<Fingerprint, Integer> crashCounts = new HashMap<>();

	/**
	 * The clock reading in milliseconds until which each suspected request is refused.
	 */
	private final Map<Fingerprint, Long> suspectedUntil = new HashMap<>();

	/**
	 * The parts of prompts that crash upstreams.
	 */
	private final PartTracker parts;

	/**
	 * The VMs of the other routers, which receive a message about each crash.
	 */
	private Set<VmId> peers = Set.of();

	/**
	 * Creates a tracker without crashes.
	 * @param settings the settings
	 */
	public SuspectTracker(SuspectSettings settings) {
		this.settings = Objects.requireNonNull(settings, "settings");
		this.parts = new PartTracker(settings);
	}

	/**
	 * Returns the parts of prompts that crash upstreams, found from the same crashes.
	 * @return the tracker of parts
	 */
	public PartTracker parts() {
		return this.parts;
	}

	/**
	 * Replaces the set of other routers, which receive a message about each crash.
	 * @param vms their VMs
	 */
	public void updatePeers(Set<VmId> vms) {
		this.peers = new TreeSet<>(vms);
	}

	/**
	 * Records a broken exchange whose upstream appears to have crashed, and reports it to
	 * the other routers.
	 * @param now the router's clock reading in milliseconds
	 * @param fingerprint the digest of the request
	 * @param upstream the upstream
	 * @param incarnation the incarnation of the upstream
	 * @param runningCount the number of requests that this router had running on the
	 * upstream, including this one
	 * @param outbox receives the effects
	 */
	public void recordCrash(long now, Fingerprint fingerprint, UpstreamId upstream, long incarnation, int runningCount,
			Outbox outbox) {
		PeerMessage.Crash message = new PeerMessage.Crash(fingerprint, upstream, incarnation, runningCount);
		this.peers.forEach((vm) -> outbox.add(new Effect.ToPeer(vm, message)));
		addReported(now, THIS_ROUTER, message);
	}

	/**
	 * Records a prompt that was unanswered at an upstream that crashed, after the broken
	 * exchange was recorded.
	 * @param now the router's clock reading in milliseconds
	 * @param upstream the upstream
	 * @param incarnation the incarnation of the upstream
	 * @param prompt the prompt
	 */
	public void recordUnansweredPrompt(long now, UpstreamId upstream, long incarnation, UnansweredPrompt prompt) {
		this.parts.add(now, new Crash.Key(upstream, incarnation), List.of(prompt), true);
	}

	/**
	 * Records a crash that another router reported in a message.
	 * @param now the router's clock reading in milliseconds
	 * @param from the process that sent the message
	 * @param message the message
	 */
	public void receiveCrash(long now, Incarnation from, PeerMessage.Crash message) {
		addReported(now, from.vm(), message);
	}

	/**
	 * Records a crash that another router reports, even if the crash was retracted
	 * before.
	 * @param now the router's clock reading in milliseconds
	 * @param router the other router
	 * @param evidence the reported evidence
	 */
	public void addReported(long now, VmId router, CrashEvidence evidence) {
		this.retracted.remove(new Crash.Key(evidence.upstream(), evidence.incarnation()));
		add(now, router, evidence);
	}

	private void addReported(long now, VmId router, PeerMessage.Crash message) {
		addReported(now, router, new CrashEvidence(message.upstream(), message.upstreamIncarnation(),
				Set.of(message.fingerprint()), message.alone(), now));
	}

	/**
	 * Restores evidence that this router stored before it restarted.
	 * @param now the router's clock reading in milliseconds
	 * @param evidence the evidence
	 */
	public void restoreOwn(long now, CrashEvidence evidence) {
		add(now, THIS_ROUTER, evidence);
	}

	/**
	 * Adds evidence that another router stored. Ignored if the crash has been retracted,
	 * since the evidence may be older than the retraction.
	 * @param now the router's clock reading in milliseconds
	 * @param router the other router
	 * @param evidence the evidence
	 */
	public void addStored(long now, VmId router, CrashEvidence evidence) {
		add(now, router, evidence);
	}

	private void add(long now, VmId router, CrashEvidence evidence) {
		Crash.Key key = new Crash.Key(evidence.upstream(), evidence.incarnation());
		if (!this.retracted.contains(key)) {
			evidence.requests().forEach((request) -> add(now, key, router, request, evidence.runningCount()));
			this.parts.add(now, key, evidence.prompts(), router.equals(THIS_ROUTER));
		}
	}

	private void add(long now, Crash.Key key, VmId router, Fingerprint request, int runningCount) {
		Crash crash = this.crashes.computeIfAbsent(key, (missing) -> new Crash(now));
		boolean wasListed = crash.requests().contains(request);
		boolean wasCounted = crash.runningCount(router) >= runningCount;
		crash.add(request, router, runningCount);
		boolean newlyListed = !wasListed && crash.requests().contains(request);
		if (newlyListed) {
			this.crashCounts.merge(request, 1, Integer::sum);
		}
		if (router.equals(THIS_ROUTER)) {
			crash.markOwn(request);
		}
		if (newlyListed || !wasCounted) {
			this.evaluationDueMillis.put(crash, now + this.settings.settleMillis());
		}
		evictExcess();
	}

	/**
	 * Returns the crashes that this router observed in its own exchanges, for routers
	 * that a message does not reach.
	 * @return the evidence, with times of the router's clock
	 */
	public List<CrashEvidence> ownEvidence() {
		return this.crashes.entrySet()
			.stream()
			.map((entry) -> new CrashEvidence(entry.getKey().upstream(), entry.getKey().incarnation(),
					entry.getValue().ownRequests(), entry.getValue().runningCount(THIS_ROUTER),
					entry.getValue().knownAtMillis(), this.parts.ownPrompts(entry.getKey())))
			.filter((crash) -> !crash.requests().isEmpty() || !crash.prompts().isEmpty())
			.toList();
	}

	private void evaluate(long now, BlameWeights weights, Crash crash, Outbox outbox) {
		List<Fingerprint> suspects = crash.requests()
			.stream()
			.filter((request) -> this.crashCounts.getOrDefault(request, 0) >= this.settings.minCrashes())
			.filter((request) -> reachesThreshold(request, crash, weights))
			.toList();
		for (Fingerprint request : suspects) {
			if (this.suspectedUntil.put(request, now + this.settings.suspicionMillis()) == null) {
				outbox.add(new Effect.Note(LogEvent.REQUEST_SUSPECTED, request.value()));
			}
		}
	}

	private boolean reachesThreshold(Fingerprint request, Crash crash, BlameWeights weights) {
		double threshold = this.settings.blameThreshold()
				* (1 + BACKGROUND_CRASH_FACTOR * weights.backgroundCrashRatio(request));
		return weights.blame(request) + ROUNDING_TOLERANCE >= threshold
				* (weights.outweighs(request, crash) ? 1 : NO_MAJORITY_FACTOR);
	}

	/**
	 * Returns the total blame of a request.
	 * @param fingerprint the digest of the request
	 * @return the blame; a crash of an upstream that ran only this request counts 1
	 */
	public double blame(Fingerprint fingerprint) {
		return new BlameWeights(this.crashes.values()).blame(fingerprint);
	}

	/**
	 * Clears a request that completed, since it did not crash its upstream.
	 * @param now the router's clock reading in milliseconds
	 * @param fingerprint the digest of the request
	 */
	public void recordCompletion(long now, Fingerprint fingerprint) {
		if (this.crashCounts.remove(fingerprint) != null) {
			this.suspectedUntil.remove(fingerprint);
			this.crashes.values()
				.stream()
				.filter((crash) -> crash.requests().contains(fingerprint))
				.forEach((crash) -> {
					crash.clear(fingerprint);
					this.toReevaluate.add(crash);
				});
		}
	}

	/**
	 * Returns whether a request was part of a remembered crash.
	 * @param fingerprint the digest of the request
	 * @return {@code true} if the other routers need to know when it completes
	 */
	public boolean wasInCrash(Fingerprint fingerprint) {
		return this.crashCounts.containsKey(fingerprint);
	}

	/**
	 * Returns whether a request was part of more than one remembered crash.
	 * @param fingerprint the digest of the request
	 * @return {@code true} from the second crash on
	 */
	public boolean wasInSeveralCrashes(Fingerprint fingerprint) {
		return this.crashCounts.getOrDefault(fingerprint, 0) > 1;
	}

	/**
	 * Returns whether no crash is remembered and no request is suspected.
	 * @return {@code true} if there is nothing to check
	 */
	public boolean isEmpty() {
		return this.crashes.isEmpty() && this.suspectedUntil.isEmpty() && this.parts.isEmpty();
	}

	/**
	 * Records a load report of an upstream. A report from the incarnation that is
	 * believed to have crashed, sampled after the crash, retracts the crash.
	 * @param now the router's clock reading in milliseconds
	 * @param upstream the upstream
	 * @param incarnation the incarnation that reported
	 * @param sampledAtMillis the clock reading in milliseconds at which the report was
	 * sampled
	 */
	public void recordReport(long now, UpstreamId upstream, long incarnation, long sampledAtMillis) {
		Crash.Key key = new Crash.Key(upstream, incarnation);
		Crash crash = this.crashes.get(key);
		if (crash != null && sampledAtMillis > crash.knownAtMillis()) {
			retract(now, key);
		}
	}

	/**
	 * Records that bytes arrived on a connection to an upstream. A process that ends
	 * closes all its connections, so bytes on a connection that was opened before the
	 * crash retract it. A connection opened later may lead to the restarted upstream and
	 * proves nothing.
	 * @param now the router's clock reading in milliseconds
	 * @param upstream the upstream
	 * @param incarnation the incarnation of the upstream
	 * @param openedAtMillis the clock reading in milliseconds at which the connection was
	 * opened
	 * @return whether a crash was retracted
	 */
	public boolean recordBytesReceived(long now, UpstreamId upstream, long incarnation, long openedAtMillis) {
		Crash.Key key = new Crash.Key(upstream, incarnation);
		Crash crash = this.crashes.get(key);
		if (crash == null || openedAtMillis >= crash.knownAtMillis()
				|| now - crash.knownAtMillis() <= MAX_IN_FLIGHT_MILLIS) {
			return false;
		}
		retract(now, key);
		return true;
	}

	private void retract(long now, Crash.Key key) {
		Crash crash = this.crashes.remove(key);
		decrementCrashCounts(crash);
		this.parts.retract(key);
		this.retracted.add(key);
		if (this.retracted.size() > this.settings.maxRememberedCrashes()) {
			this.retracted.remove(this.retracted.iterator().next());
		}
		crash.requests().forEach((request) -> {
			if (this.suspectedUntil.remove(request) != null) {
				this.crashes.values()
					.stream()
					.filter((other) -> other.requests().contains(request))
					.forEach(this.toReevaluate::add);
			}
		});
	}

	/**
	 * Returns whether a request must be refused.
	 * @param now the router's clock reading in milliseconds
	 * @param fingerprint the digest of the request
	 * @return {@code true} if the request is suspected
	 */
	public boolean isSuspected(long now, Fingerprint fingerprint) {
		return suspectedForMillis(now, fingerprint) > 0;
	}

	/**
	 * Returns how much longer a request is refused.
	 * @param now the router's clock reading in milliseconds
	 * @param fingerprint the digest of the request
	 * @return the time in milliseconds, 0 if the request is not suspected
	 */
	public long suspectedForMillis(long now, Fingerprint fingerprint) {
		return Math.max(this.suspectedUntil.getOrDefault(fingerprint, now) - now, 0);
	}

	/**
	 * Returns whether a request was part of enough crashes to be suspected and must not
	 * run before they are evaluated.
	 * @param fingerprint the digest of the request
	 * @return {@code true} if the request was part of the minimum number of crashes and
	 * at least one of them is not yet evaluated
	 */
	public boolean awaitsEvaluation(Fingerprint fingerprint) {
		return this.crashCounts.getOrDefault(fingerprint, 0) >= this.settings.minCrashes()
				&& this.evaluationDueMillis.keySet()
					.stream()
					.anyMatch((crash) -> crash.requests().contains(fingerprint));
	}

	/**
	 * Evaluates the crashes that all routers have had time to report, and drops expired
	 * suspicions and crashes.
	 * @param now the router's clock reading in milliseconds
	 * @param outbox receives the effects
	 */
	public void tick(long now, Outbox outbox) {
		List<Crash> due = this.evaluationDueMillis.entrySet()
			.stream()
			.filter((entry) -> entry.getValue() <= now)
			.map(Map.Entry::getKey)
			.toList();
		this.toReevaluate.removeAll(this.evaluationDueMillis.keySet());
		this.toReevaluate.addAll(due);
		if (!this.toReevaluate.isEmpty()) {
			BlameWeights weights = new BlameWeights(this.crashes.values());
			this.toReevaluate.forEach((crash) -> evaluate(now, weights, crash, outbox));
		}
		this.toReevaluate.clear();
		due.forEach(this.evaluationDueMillis::remove);
		this.suspectedUntil.values().removeIf((until) -> until <= now);
		while (!this.crashes.isEmpty() && oldest().knownAtMillis() + this.settings.suspicionMillis() <= now) {
			evictOldest();
		}
	}

	private void evictExcess() {
		while (this.crashes.size() > this.settings.maxRememberedCrashes()) {
			evictOldest();
		}
	}

	private Crash oldest() {
		return this.crashes.values().iterator().next();
	}

	private void evictOldest() {
		Iterator<Crash> iterator = this.crashes.values().iterator();
		Crash crash = iterator.next();
		iterator.remove();
		decrementCrashCounts(crash);
	}

	private void decrementCrashCounts(Crash crash) {
		this.evaluationDueMillis.remove(crash);
		this.toReevaluate.remove(crash);
		crash.requests()
			.forEach((request) -> this.crashCounts.computeIfPresent(request,
					(digest, count) -> (count > 1) ? count - 1 : null));
	}

	/**
	 * Returns the number of suspected requests.
	 * @return the number
	 */
	public int suspectCount() {
		return this.suspectedUntil.size();
	}

}
