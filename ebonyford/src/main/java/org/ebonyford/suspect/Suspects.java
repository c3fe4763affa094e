package org.ebonyford.suspect;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
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
 * Each crash lays a blame of 1 on the requests that the upstream was running. A request's
 * share grows with the third power of the number of crashes that it was part of, so that
 * the one that comes back outweighs those that were there once. While it does not
 * outweigh all others of the crash together, twice the blame is needed. A request that
 * completes is cleared, and its share falls to the others. A crash is struck out if the
 * upstream reports the same incarnation afterwards.
 */
public final class Suspects {

	/**
	 * Stands for this router among those that tell about crashes.
	 */
	private static final VmId SELF = new VmId("(this router)");

	/**
	 * By how much more blame a request is refused that does not outweigh all others of
	 * its crash together.
	 */
	private static final int TIE_FACTOR = 2;

	/**
	 * The blame by which rounding may miss a bound.
	 */
	private static final double ROUNDING = 1e-9;

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
	private final Map<Crash, Long> unjudged = new LinkedHashMap<>();

	/**
	 * The number of crashes that each request was part of.
	 */
	private final Map<Fingerprint, Integer> counts = new HashMap<>();

	/**
	 * The clock reading in milliseconds up to which each suspected request is refused.
	 */
	private final Map<Fingerprint, Long> suspectedUntil = new HashMap<>();

	/**
	 * The other routers.
	 */
	private Set<VmId> peers = Set.of();

	/**
	 * Creates suspects that know of no crash.
	 * @param settings the settings
	 */
	public Suspects(SuspectSettings settings) {
		this.settings = Objects.requireNonNull(settings, "settings");
	}

	/**
	 * Takes the other routers, which are told about crashes.
	 * @param routers their VMs
	 */
	public void peers(Set<VmId> routers) {
		this.peers = new TreeSet<>(routers);
	}

	/**
	 * Notes that an exchange broke since its upstream crashed, as far as is known, and
	 * tells the other routers.
	 * @param now the router's clock reading in milliseconds
	 * @param fingerprint the digest of the request
	 * @param upstream the upstream
	 * @param incarnation the incarnation of the upstream
	 * @param alone how many requests this router had running on the upstream, this one
	 * among them
	 * @param outbox takes the effects
	 */
	public void crashed(long now, Fingerprint fingerprint, UpstreamId upstream, long incarnation, int alone,
			Outbox outbox) {
		PeerMessage.Crash message = new PeerMessage.Crash(fingerprint, upstream, incarnation, alone);
		this.peers.forEach((vm) -> outbox.add(new Effect.ToPeer(vm, message)));
		add(now, SELF, message);
	}

	/**
	 * Takes what another router tells about a crash.
	 * @param now the router's clock reading in milliseconds
	 * @param from the process that tells it
	 * @param message what it tells
	 */
	public void received(long now, Incarnation from, PeerMessage.Crash message) {
		add(now, from.vm(), message);
	}

	private void add(long now, VmId router, PeerMessage.Crash message) {
		Crash crash = this.crashes.computeIfAbsent(new Crash.Key(message.upstream(), message.upstreamIncarnation()),
				(key) -> new Crash(now));
		boolean news = !crash.requests().contains(message.fingerprint());
		crash.add(message.fingerprint(), router, message.alone());
		if (news && crash.requests().contains(message.fingerprint())) {
			this.counts.merge(message.fingerprint(), 1, Integer::sum);
		}
		this.unjudged.put(crash, now + this.settings.settleMillis());
		forgetExcess();
	}

	private void judge(long now, Crash crash, Outbox outbox) {
		List<Fingerprint> blamed = crash.requests()
			.stream()
			.filter((request) -> this.counts.getOrDefault(request, 0) >= this.settings.crashes())
			.filter((request) -> toBlame(request, crash))
			.toList();
		for (Fingerprint request : blamed) {
			if (this.suspectedUntil.put(request, now + this.settings.timeMillis()) == null) {
				outbox.add(new Effect.Note(LogEvent.REQUEST_SUSPECTED, request.value()));
			}
		}
	}

	private boolean toBlame(Fingerprint request, Crash crash) {
		double blame = blame(request) + ROUNDING;
		boolean outweighsOthers = 2 * weight(request) > weight(crash);
		return blame >= this.settings.crashes() * (outweighsOthers ? 1 : TIE_FACTOR);
	}

	/**
	 * Returns the blame that is laid on a request.
	 * @param fingerprint the digest of the request
	 * @return the blame, where a crash of an upstream that ran nothing else counts 1
	 */
	public double blame(Fingerprint fingerprint) {
		return this.crashes.values()
			.stream()
			.filter((crash) -> crash.requests().contains(fingerprint))
			.mapToDouble((crash) -> weight(fingerprint) / (double) weight(crash))
			.sum();
	}

	private long weight(Crash crash) {
		return crash.unnamed() + crash.requests().stream().mapToLong(this::weight).sum();
	}

	private long weight(Fingerprint fingerprint) {
		long count = this.counts.getOrDefault(fingerprint, 0);
		return count * count * count;
	}

	/**
	 * Notes that a request completed, so that it is not to blame.
	 * @param now the router's clock reading in milliseconds
	 * @param fingerprint the digest of the request
	 */
	public void completed(long now, Fingerprint fingerprint) {
		if (this.counts.remove(fingerprint) != null) {
			this.suspectedUntil.remove(fingerprint);
			this.crashes.values().forEach((crash) -> crash.clear(fingerprint));
		}
	}

	/**
	 * Notes what an upstream reported. One that still runs as the incarnation that was
	 * taken to have crashed has not crashed.
	 * @param now the router's clock reading in milliseconds
	 * @param upstream the upstream
	 * @param incarnation the incarnation that reported
	 * @param sampledAt the clock reading in milliseconds that the report tells of
	 */
	public void reported(long now, UpstreamId upstream, long incarnation, long sampledAt) {
		Crash.Key key = new Crash.Key(upstream, incarnation);
		Crash crash = this.crashes.get(key);
		if (crash != null && sampledAt > crash.at()) {
			this.crashes.remove(key);
			uncount(crash);
		}
	}

	/**
	 * Returns whether a request is to be refused.
	 * @param now the router's clock reading in milliseconds
	 * @param fingerprint the digest of the request
	 * @return {@code true} if it is suspected
	 */
	public boolean suspected(long now, Fingerprint fingerprint) {
		Long until = this.suspectedUntil.get(fingerprint);
		return until != null && now < until;
	}

	/**
	 * Returns whether a request was part of so many crashes that it must not run before
	 * they are judged.
	 * @param fingerprint the digest of the request
	 * @return {@code true} if a crash that it was part of awaits judgement and it was
	 * part of enough of them
	 */
	public boolean awaitsJudgement(Fingerprint fingerprint) {
		return this.counts.getOrDefault(fingerprint, 0) >= this.settings.crashes()
				&& this.unjudged.keySet().stream().anyMatch((crash) -> crash.requests().contains(fingerprint));
	}

	/**
	 * Judges the crashes that all routers have had time to tell about, and forgets what
	 * is too old.
	 * @param now the router's clock reading in milliseconds
	 * @param outbox takes the effects
	 */
	public void tick(long now, Outbox outbox) {
		List<Crash> due = this.unjudged.entrySet()
			.stream()
			.filter((entry) -> entry.getValue() <= now)
			.map(Map.Entry::getKey)
			.toList();
		due.forEach((crash) -> judge(now, crash, outbox));
		due.forEach(this.unjudged::remove);
		this.suspectedUntil.values().removeIf((until) -> until <= now);
		while (!this.crashes.isEmpty() && oldest().at() + this.settings.timeMillis() <= now) {
			forgetOldest();
		}
	}

	private void forgetExcess() {
		while (this.crashes.size() > this.settings.maxCrashes()) {
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
		uncount(crash);
	}

	private void uncount(Crash crash) {
		this.unjudged.remove(crash);
		crash.requests()
			.forEach((request) -> this.counts.computeIfPresent(request,
					(digest, count) -> (count > 1) ? count - 1 : null));
	}

	/**
	 * Returns the number of requests that are refused.
	 * @return the number
	 */
	public int size() {
		return this.suspectedUntil.size();
	}

}
