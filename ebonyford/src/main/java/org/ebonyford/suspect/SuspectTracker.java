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
 * Finds the request that crashes each upstream which runs it.
 *
 * <p>
 * Each crash lays a blame of 1 on the requests that the upstream was running, shared by
 * their {@link BlameWeights}. While a request does not outweigh all others of the crash
 * together, twice the blame is needed, and more while upstreams crash without it, too. A
 * request that completes is cleared, and its share falls to the others. A crash is struck
 * out if the upstream reports the same incarnation afterwards, or if a connection goes on
 * that was open before.
 */
public final class SuspectTracker {

	/**
	 * Stands for this router among those that tell about crashes.
	 */
	private static final VmId THIS_ROUTER = new VmId("(this router)");

	/**
	 * The time in milliseconds after a crash for which bytes may still be read that the
	 * upstream had sent before: many round trips, and a few long turns of an event loop.
	 */
	private static final long MAX_IN_FLIGHT_MILLIS = 500;

	/**
	 * By how much more blame a request is refused that does not outweigh all others of
	 * its crash together.
	 */
	private static final int NO_MAJORITY_FACTOR = 2;

	/**
	 * By how much more blame a request is refused for each upstream that crashed without
	 * it, for one that crashed with it.
	 */
	private static final double BACKGROUND_CRASH_FACTOR = 2;

	/**
	 * The blame by which rounding may miss a bound.
	 */
	private static final double ROUNDING_TOLERANCE = 1e-9;

	/**
	 * The settings.
	 */
	private final SuspectSettings settings;

	/**
	 * The crashes, the oldest first.
	 */
	private final LinkedHashMap<Crash.Key, Crash> crashes = new LinkedHashMap<>();

	/**
	 * The crashes that are to be judged, with the clock reading in milliseconds from
	 * which on.
	 */
	private final Map<Crash, Long> evaluationDueMillis = new LinkedHashMap<>();

	/**
	 * The crashes that were struck out, the oldest first. Evidence of them that is read
	 * later does not bring them back.
	 */
	private final Set<Crash.Key> retracted = new LinkedHashSet<>();

	/**
	 * The crashes that are to be judged again since a request was cleared or another
	 * crash struck out. No request waits for that.
	 */
	private final Set<Crash> toReevaluate = new LinkedHashSet<>();

	/**
	 * The number of crashes that each request was part of.
	 */
	private final Map<Fingerprint, Integer> crashCounts = new HashMap<>();

	/**
	 * The clock reading in milliseconds up to which each suspected request is refused.
	 */
	private final Map<Fingerprint, Long> suspectedUntil = new HashMap<>();

	/**
	 * The other routers.
	 */
	private Set<VmId> updatePeers = Set.of();

	/**
	 * Creates suspects that know of no crash.
	 * @param settings the settings
	 */
	public SuspectTracker(SuspectSettings settings) {
		this.settings = Objects.requireNonNull(settings, "settings");
	}

	/**
	 * Takes the other routers, which are told about crashes.
	 * @param vms their VMs
	 */
	public void updatePeers(Set<VmId> vms) {
		this.updatePeers = new TreeSet<>(vms);
	}

	/**
	 * Notes that an exchange broke since its upstream crashed, as far as is known, and
	 * tells the other routers.
	 * @param now the router's clock reading in milliseconds
	 * @param fingerprint the digest of the request
	 * @param upstream the upstream
	 * @param incarnation the incarnation of the upstream
	 * @param runningCount how many requests this router had running on the upstream, this
	 * one among them
	 * @param outbox takes the effects
	 */
	public void recordCrash(long now, Fingerprint fingerprint, UpstreamId upstream, long incarnation, int runningCount,
			Outbox outbox) {
		PeerMessage.Crash message = new PeerMessage.Crash(fingerprint, upstream, incarnation, runningCount);
		this.updatePeers.forEach((vm) -> outbox.add(new Effect.ToPeer(vm, message)));
		addReported(now, THIS_ROUTER, message);
	}

	/**
	 * Takes what another router tells about a crash.
	 * @param now the router's clock reading in milliseconds
	 * @param from the process that tells it
	 * @param message what it tells
	 */
	public void receiveCrash(long now, Incarnation from, PeerMessage.Crash message) {
		addReported(now, from.vm(), message);
	}

	/**
	 * Takes what another router tells about a crash, which counts also if the crash was
	 * struck out before.
	 * @param now the router's clock reading in milliseconds
	 * @param router the other router
	 * @param evidence what it tells
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
	 * Takes evidence that this router has kept from before it started.
	 * @param now the router's clock reading in milliseconds
	 * @param evidence the evidence
	 */
	public void restoreOwn(long now, CrashEvidence evidence) {
		add(now, THIS_ROUTER, evidence);
	}

	/**
	 * Takes evidence that another router has kept. It says nothing of a crash that was
	 * struck out since.
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
		forgetExcess();
	}

	/**
	 * Returns what this router knows of crashes from its own exchanges, for those that
	 * cannot be told now.
	 * @return the evidence, with the router's clock readings
	 */
	public List<CrashEvidence> ownEvidence() {
		return this.crashes.entrySet()
			.stream()
			.filter((entry) -> !entry.getValue().ownRequests().isEmpty())
			.map((entry) -> new CrashEvidence(entry.getKey().upstream(), entry.getKey().incarnation(),
					entry.getValue().ownRequests(), entry.getValue().runningCount(THIS_ROUTER),
					entry.getValue().knownAtMillis()))
			.toList();
	}

	private void evaluate(long now, BlameWeights weights, Crash crash, Outbox outbox) {
		List<Fingerprint> newSuspects = crash.requests()
			.stream()
			.filter((request) -> this.crashCounts.getOrDefault(request, 0) >= this.settings.minCrashes())
			.filter((request) -> exceedsThreshold(request, crash, weights))
			.toList();
		for (Fingerprint request : newSuspects) {
			if (this.suspectedUntil.put(request, now + this.settings.suspicionMillis()) == null) {
				outbox.add(new Effect.Note(LogEvent.REQUEST_SUSPECTED, request.value()));
			}
		}
	}

	private boolean exceedsThreshold(Fingerprint request, Crash crash, BlameWeights weights) {
		double threshold = this.settings.blameThreshold()
				* (1 + BACKGROUND_CRASH_FACTOR * weights.backgroundCrashRatio(request));
		return weights.blame(request) + ROUNDING_TOLERANCE >= threshold
				* (weights.outweighs(request, crash) ? 1 : NO_MAJORITY_FACTOR);
	}

	/**
	 * Returns the blame that is laid on a request.
	 * @param fingerprint the digest of the request
	 * @return the blame, where a crash of an upstream that ran nothing else counts 1
	 */
	public double blame(Fingerprint fingerprint) {
		return new BlameWeights(this.crashes.values()).blame(fingerprint);
	}

	/**
	 * Notes that a request completed, so that it is not to blame.
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
	 * Returns whether an upstream crashed that was running a request.
	 * @param fingerprint the digest of the request
	 * @return {@code true} if others are to be told when it completes
	 */
	public boolean wasInCrash(Fingerprint fingerprint) {
		return this.crashCounts.containsKey(fingerprint);
	}

	/**
	 * Returns whether upstreams crashed that were running a request, more than one.
	 * @param fingerprint the digest of the request
	 * @return {@code true} from the second crash on
	 */
	public boolean wasInSeveralCrashes(Fingerprint fingerprint) {
		return this.crashCounts.getOrDefault(fingerprint, 0) > 1;
	}

	/**
	 * Returns whether no crash is remembered, so that no request can be suspected.
	 * @return {@code true} if there is none
	 */
	public boolean isEmpty() {
		return this.crashes.isEmpty() && this.suspectedUntil.isEmpty();
	}

	/**
	 * Notes what an upstream reported. One that still runs as the incarnation that was
	 * taken to have crashed has not crashed.
	 * @param now the router's clock reading in milliseconds
	 * @param upstream the upstream
	 * @param incarnation the incarnation that reported
	 * @param sampledAtMillis the clock reading in milliseconds that the report tells of
	 */
	public void recordReport(long now, UpstreamId upstream, long incarnation, long sampledAtMillis) {
		Crash.Key key = new Crash.Key(upstream, incarnation);
		Crash crash = this.crashes.get(key);
		if (crash != null && sampledAtMillis > crash.knownAtMillis()) {
			retract(now, key);
		}
	}

	/**
	 * Notes that bytes came on a connection to an upstream. A process that ends closes
	 * all its connections, so one that goes on proves that it has not crashed; a newer
	 * one may lead to its successor.
	 * @param now the router's clock reading in milliseconds
	 * @param upstream the upstream
	 * @param incarnation the incarnation of the upstream
	 * @param openedAtMillis the clock reading in milliseconds at which the connection was
	 * made
	 * @return whether a crash was struck out
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
	 * Returns whether a request is to be refused.
	 * @param now the router's clock reading in milliseconds
	 * @param fingerprint the digest of the request
	 * @return {@code true} if it is suspected
	 */
	public boolean isSuspected(long now, Fingerprint fingerprint) {
		return suspectedForMillis(now, fingerprint) > 0;
	}

	/**
	 * Returns for how long a request is refused.
	 * @param now the router's clock reading in milliseconds
	 * @param fingerprint the digest of the request
	 * @return the time in milliseconds, 0 if it is not suspected
	 */
	public long suspectedForMillis(long now, Fingerprint fingerprint) {
		return Math.max(this.suspectedUntil.getOrDefault(fingerprint, now) - now, 0);
	}

	/**
	 * Returns whether a request was part of so many crashes that it must not run before
	 * they are judged.
	 * @param fingerprint the digest of the request
	 * @return {@code true} if a crash that it was part of awaits judgement and it was
	 * part of enough of them
	 */
	public boolean awaitsEvaluation(Fingerprint fingerprint) {
		return this.crashCounts.getOrDefault(fingerprint, 0) >= this.settings.minCrashes()
				&& this.evaluationDueMillis.keySet()
					.stream()
					.anyMatch((crash) -> crash.requests().contains(fingerprint));
	}

	/**
	 * Judges the crashes that all routers have had time to tell about, and forgets what
	 * is too old.
	 * @param now the router's clock reading in milliseconds
	 * @param outbox takes the effects
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
			forgetOldest();
		}
	}

	private void forgetExcess() {
		while (this.crashes.size() > this.settings.maxRememberedCrashes()) {
			forgetOldest();
		}
	}

	private Crash oldest() {
		return this.crashes.values().iterator().next();
	}

	private void forgetOldest() {
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
	 * Returns the number of requests that are refused.
	 * @return the number
	 */
	public int suspectCount() {
		return this.suspectedUntil.size();
	}

}
