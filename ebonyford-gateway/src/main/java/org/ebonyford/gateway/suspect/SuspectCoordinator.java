package org.ebonyford.gateway.suspect;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.stream.Stream;

import org.ebonyford.directory.UpstreamEntry;
import org.ebonyford.effect.Effect;
import org.ebonyford.effect.Outbox;
import org.ebonyford.gateway.log.EventLog;
import org.ebonyford.gateway.log.GatewayEvent;
import org.ebonyford.gateway.log.LogLine;
import org.ebonyford.identity.Fingerprint;
import org.ebonyford.identity.UpstreamId;
import org.ebonyford.identity.VmId;
import org.ebonyford.suspect.CrashEvidence;
import org.ebonyford.suspect.SuspectSettings;
import org.ebonyford.suspect.SuspectTracker;
import org.ebonyford.time.Clock;

/**
 * Finds the requests under which upstreams end, together with the other gateways. Each
 * broken exchange is told to the peers at once. The store keeps what each gateway has
 * seen, for those that start later or that peers do not reach.
 */
public final class SuspectCoordinator {

	/**
	 * The upstreams that may end under a request before it is refused. Operators bear
	 * three; fewer would be upstreams that end for another reason.
	 */
	private static final int MIN_CRASHES = 3;

	/**
	 * The time in milliseconds after a crash before it is kept in the store: by then most
	 * upstreams that go on have been heard. A crash under a request that took part in one
	 * before is kept at once.
	 */
	private static final long STORE_DELAY_MILLIS = 600;

	/**
	 * The least time in milliseconds between two writes to the store.
	 */
	private static final long MIN_WRITE_INTERVAL_MILLIS = 1_000;

	/**
	 * The greatest number of requests that are kept, of the newest crashes: a quarter of
	 * what a record of the store holds.
	 */
	private static final int MAX_STORED_REQUESTS = 4_000;

	/**
	 * The clock.
	 */
	private final Clock clock;

	/**
	 * The wall clock, by which the age of kept evidence is told.
	 */
	private final Clock wallClock;

	/**
	 * The log.
	 */
	private final EventLog log;

	/**
	 * Runs a task after the events that have already come.
	 */
	private final Executor executor;

	/**
	 * Carries what is told.
	 */
	private final ReportPublisher publisher;

	/**
	 * The settings.
	 */
	private final SuspectSettings settings = SuspectSettings.DEFAULT.withMinCrashes(MIN_CRASHES);

	/**
	 * The crashes and the requests to blame.
	 */
	private final SuspectTracker tracker = new SuspectTracker(this.settings);

	/**
	 * The requests of each crash that the peers are to be told of.
	 */
	private final Map<CrashReport.UpstreamIncarnation, Set<Fingerprint>> unsentCrashes = new LinkedHashMap<>();

	/**
	 * How many requests this gateway had running on the upstreams that crashed.
	 */
	private final Map<CrashReport.UpstreamIncarnation, Integer> unsentRunningCounts = new LinkedHashMap<>();

	/**
	 * The requests that completed, of which the peers are to be told.
	 */
	private final List<Fingerprint> recordCompletion = new ArrayList<>();

	/**
	 * The upstreams that go on, of which the peers are to be told.
	 */
	private final List<CrashReport.UpstreamIncarnation> unsentStillRunning = new ArrayList<>();

	/**
	 * Whether a task that tells the peers is waiting.
	 */
	private boolean sendScheduled;

	/**
	 * Whether what this gateway kept before it started was read, so that it may be
	 * replaced.
	 */
	private boolean storeRead;

	/**
	 * From when on what this gateway has seen is to be kept, in milliseconds, negative if
	 * all of it is.
	 */
	private long storeAtMillis = -1;

	/**
	 * When evidence was last written to the store, in milliseconds.
	 */
	private long writtenAtMillis = -MIN_WRITE_INTERVAL_MILLIS;

	/**
	 * Whether the store may hold evidence of this gateway.
	 */
	private boolean mayHaveRecord;

	/**
	 * Creates suspects that know of no crash.
	 * @param clock the monotonic clock
	 * @param wallClock the wall clock
	 * @param log the log
	 * @param executor runs a task after the events that have already come
	 * @param publisher carries what is told
	 */
	public SuspectCoordinator(Clock clock, Clock wallClock, EventLog log, Executor executor,
			ReportPublisher publisher) {
		this.clock = clock;
		this.wallClock = wallClock;
		this.log = log;
		this.executor = executor;
		this.publisher = publisher;
	}

	/**
	 * Returns whether no request can be suspected, as no crash is remembered.
	 * @return {@code true} if there is nothing to ask or tell
	 */
	public boolean isEmpty() {
		return this.tracker.isEmpty();
	}

	/**
	 * Returns the number of requests that are refused.
	 * @return the number
	 */
	public int suspectCount() {
		return this.tracker.suspectCount();
	}

	/**
	 * Returns for how long a request is refused.
	 * @param request the fingerprint of the request
	 * @return the time in milliseconds, 0 if it is not suspected
	 */
	public long suspectedForMillis(Fingerprint request) {
		return this.tracker.suspectedForMillis(this.clock.millis(), request);
	}

	/**
	 * Returns whether a request has to wait until the peers have told of the crash of an
	 * upstream that ran it.
	 * @param request the fingerprint of the request
	 * @return {@code true} for a fraction of a second
	 */
	public boolean awaitsEvaluation(Fingerprint request) {
		return this.tracker.awaitsEvaluation(request);
	}

	/**
	 * Notes that an upstream closed the connection of a request before its answer was
	 * whole.
	 * @param request the fingerprint of the request
	 * @param upstream the upstream
	 * @param runningCount how many requests this gateway had running there, this one
	 * included
	 */
	public void recordCrash(Fingerprint request, UpstreamEntry upstream, int runningCount) {
		CrashReport.UpstreamIncarnation incarnation = incarnationOf(upstream);
		long now = this.clock.millis();
		this.tracker.recordCrash(now, request, incarnation.upstream(), incarnation.incarnation(), runningCount,
				new Outbox());
		this.unsentCrashes.computeIfAbsent(incarnation, (key) -> new HashSet<>()).add(request);
		this.unsentRunningCounts.merge(incarnation, runningCount, Math::max);
		scheduleStore(this.tracker.wasInSeveralCrashes(request)
				? Math.max(now, this.writtenAtMillis + MIN_WRITE_INTERVAL_MILLIS) : now + STORE_DELAY_MILLIS);
		scheduleSend();
	}

	private void scheduleStore(long atMillis) {
		this.storeAtMillis = (this.storeAtMillis < 0) ? atMillis : Math.min(this.storeAtMillis, atMillis);
	}

	/**
	 * Notes that the whole answer to a request came.
	 * @param request the fingerprint of the request
	 */
	public void recordCompletion(Fingerprint request) {
		if (this.tracker.wasInCrash(request)) {
			this.tracker.recordCompletion(this.clock.millis(), request);
			this.recordCompletion.add(request);
			scheduleSend();
		}
	}

	/**
	 * Notes that bytes came from an upstream.
	 * @param upstream the upstream
	 * @param openedAtMillis when the connection was made, in milliseconds
	 */
	public void recordBytesReceived(UpstreamEntry upstream, long openedAtMillis) {
		CrashReport.UpstreamIncarnation incarnation = incarnationOf(upstream);
		if (this.tracker.recordBytesReceived(this.clock.millis(), incarnation.upstream(), incarnation.incarnation(),
				openedAtMillis)) {
			this.log.write(LogLine.of(GatewayEvent.CRASH_STRUCK_OUT)
				.with("upstream", upstream.id())
				.with("started_at", upstream.startedAt()));
			this.unsentStillRunning.add(incarnation);
			scheduleSend();
		}
	}

	/**
	 * Takes what a peer tells.
	 * @param report the news
	 */
	public void receive(CrashReport report) {
		long now = this.clock.millis();
		VmId peer = new VmId(report.name());
		report.crashes().forEach((crash) -> {
			log(report.name(), crash.upstream(), crash.incarnation(), crash.requests().size(), crash.runningCount());
			this.tracker.addReported(now, peer, crash);
		});
		report.completed().forEach((request) -> this.tracker.recordCompletion(now, request));
		// A crash may have become known in this very millisecond.
		report.stillRunning()
			.forEach((incarnation) -> this.tracker.recordReport(now, incarnation.upstream(), incarnation.incarnation(),
					now + 1));
	}

	/**
	 * Takes what another gateway has kept in the store.
	 * @param report the news
	 */
	public void addStored(CrashReport report) {
		recentCrashes(report)
			.forEach((crash) -> this.tracker.addStored(this.clock.millis(), new VmId(report.name()), crash));
	}

	/**
	 * Takes what this gateway has kept in the store before it started. What it has
	 * written since is left out.
	 * @param report the news
	 */
	public void restoreOwn(CrashReport report) {
		if (!this.storeRead) {
			this.mayHaveRecord = true;
			recentCrashes(report).forEach((crash) -> this.tracker.restoreOwn(this.clock.millis(), crash));
		}
	}

	private Stream<CrashEvidence> recentCrashes(CrashReport report) {
		long oldestMillis = this.wallClock.millis() - this.settings.suspicionMillis();
		return report.crashes().stream().filter((crash) -> crash.knownAtMillis() > oldestMillis);
	}

	/**
	 * Notes that all that gateways had kept in the store was read.
	 */
	public void storeRead() {
		this.storeRead = true;
	}

	/**
	 * Judges crashes that are settled, and keeps what this gateway has seen.
	 */
	public void tick() {
		if (isEmpty() && !this.mayHaveRecord) {
			return;
		}
		long now = this.clock.millis();
		Outbox outbox = new Outbox();
		this.tracker.tick(now, outbox);
		outbox.drain().forEach((effect) -> {
			if (effect instanceof Effect.Note note) {
				this.log.write(LogLine.of(GatewayEvent.REQUEST_SUSPECTED).with("fingerprint", note.subject()));
			}
		});
		boolean due = this.storeAtMillis >= 0 && now >= this.storeAtMillis;
		boolean expired = this.storeAtMillis < 0 && this.mayHaveRecord && isEmpty();
		if (this.storeRead && (due || expired)) {
			store(now);
		}
	}

	private void store(long now) {
		List<CrashEvidence> own = newestToStore(this.tracker.ownEvidence());
		this.storeAtMillis = -1;
		if (own.isEmpty() && !this.mayHaveRecord) {
			return;
		}
		long epochOffsetMillis = this.wallClock.millis() - now;
		CrashReport report = CrashReport.ofCrashes(this.publisher.name(),
				own.stream()
					.map((crash) -> crash.withKnownAtMillis(crash.knownAtMillis() + epochOffsetMillis))
					.toList());
		this.mayHaveRecord = !own.isEmpty();
		this.writtenAtMillis = now;
		this.publisher.saveToStore(own.isEmpty() ? Optional.empty() : Optional.of(report))
			.whenComplete((done, failure) -> {
				if (failure != null) {
					this.mayHaveRecord = true;
					scheduleStore(this.clock.millis() + MIN_WRITE_INTERVAL_MILLIS);
				}
			});
	}

	private static List<CrashEvidence> newestToStore(List<CrashEvidence> crashes) {
		int requestCount = 0;
		int firstIndex = crashes.size();
		while (firstIndex > 0 && requestCount + crashes.get(firstIndex - 1).requests().size() <= MAX_STORED_REQUESTS) {
			firstIndex--;
			requestCount += crashes.get(firstIndex).requests().size();
		}
		return crashes.subList(firstIndex, crashes.size());
	}

	private void scheduleSend() {
		int requestCount = this.recordCompletion.size()
				+ this.unsentCrashes.values().stream().mapToInt(Set::size).sum();
		if (requestCount >= CrashReport.MAX_REQUESTS) {
			send();
		}
		else if (!this.sendScheduled) {
			this.sendScheduled = true;
			this.executor.execute(this::send);
		}
	}

	private void send() {
		this.sendScheduled = false;
		long knownAtMillis = this.wallClock.millis();
		List<CrashEvidence> evidence = new ArrayList<>();
		this.unsentCrashes.forEach((incarnation, requests) -> evidence.add(new CrashEvidence(incarnation.upstream(),
				incarnation.incarnation(), requests, this.unsentRunningCounts.get(incarnation), knownAtMillis)));
		evidence.forEach((crash) -> log(this.publisher.name(), crash.upstream(), crash.incarnation(),
				crash.requests().size(), crash.runningCount()));
		if (!evidence.isEmpty() || !this.recordCompletion.isEmpty() || !this.unsentStillRunning.isEmpty()) {
			this.publisher.sendToPeers(
					new CrashReport(this.publisher.name(), evidence, this.recordCompletion, this.unsentStillRunning));
		}
		this.unsentCrashes.clear();
		this.unsentRunningCounts.clear();
		this.recordCompletion.clear();
		this.unsentStillRunning.clear();
	}

	private void log(String gateway, UpstreamId upstream, long incarnation, int requestCount, int runningCount) {
		this.log.write(LogLine.of(GatewayEvent.UPSTREAM_CRASHED)
			.with("upstream", upstream.value())
			.with("started_at", incarnation)
			.with("gateway", gateway)
			.with("requests", requestCount)
			.with("running", runningCount));
	}

	private static CrashReport.UpstreamIncarnation incarnationOf(UpstreamEntry upstream) {
		return new CrashReport.UpstreamIncarnation(new UpstreamId(upstream.id()), upstream.startedAt());
	}

	/**
	 * Carries what a gateway tells of crashes.
	 */
	public interface ReportPublisher {

		/**
		 * Returns the name of this gateway.
		 * @return the name
		 */
		String name();

		/**
		 * Tells the peers.
		 * @param report the news
		 */
		void sendToPeers(CrashReport report);

		/**
		 * Keeps what this gateway has seen in the store, in place of what it kept before.
		 * @param report the news, empty to keep nothing
		 * @return completes when the store has acknowledged it
		 */
		CompletableFuture<Void> saveToStore(Optional<CrashReport> report);

	}

}
