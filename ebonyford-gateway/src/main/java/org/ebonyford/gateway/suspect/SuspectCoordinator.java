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
 * Finds requests that crash upstreams, together with the other gateways. It reports each
 * broken exchange to the peers at once, and stores what this gateway observed for
 * gateways that start later or that the peers' datagrams do not reach.
 */
public final class SuspectCoordinator {

	/**
	 * The minimum number of crashes that a request was part of before it is refused.
	 * Operators accept three; fewer may be upstreams that crash for another reason.
	 */
	private static final int MIN_CRASHES = 3;

	/**
	 * The delay in milliseconds after a crash before it is stored. By then most upstreams
	 * that are still running have sent bytes, which retracts the crash. A crash with a
	 * request that was already part of another one is stored without this delay.
	 */
	private static final long STORE_DELAY_MILLIS = 600;

	/**
	 * The minimum time in milliseconds between two writes to the store.
	 */
	private static final long MIN_WRITE_INTERVAL_MILLIS = 1_000;

	/**
	 * The maximum number of requests that are stored, those of the newest crashes: a
	 * quarter of what a record of the store holds.
	 */
	private static final int MAX_STORED_REQUESTS = 4_000;

	/**
	 * The monotonic clock.
	 */
	private final Clock clock;

	/**
	 * The wall clock, which gives the age of stored evidence.
	 */
	private final Clock wallClock;

	/**
	 * The log.
	 */
	private final EventLog log;

	/**
	 * Runs a task after the events that are already queued, so that one report covers
	 * them all.
	 */
	private final Executor executor;

	/**
	 * Sends reports to the peers and writes them to the store.
	 */
	private final ReportPublisher publisher;

	/**
	 * The settings.
	 */
	private final SuspectSettings settings = SuspectSettings.DEFAULT.withMinCrashes(MIN_CRASHES);

	/**
	 * The crashes and the suspected requests.
	 */
	private final SuspectTracker tracker = new SuspectTracker(this.settings);

	/**
	 * The requests of each crash that are not yet reported to the peers.
	 */
	private final Map<CrashReport.UpstreamIncarnation, Set<Fingerprint>> unsentCrashes = new LinkedHashMap<>();

	/**
	 * The number of requests that this gateway had running on each upstream in
	 * {@link #unsentCrashes}.
	 */
	private final Map<CrashReport.UpstreamIncarnation, Integer> unsentRunningCounts = new LinkedHashMap<>();

	/**
	 * The requests that completed after a crash and are not yet reported to the peers.
	 */
	private final List<Fingerprint> unsentCompletions = new ArrayList<>();

	/**
	 * The upstreams found to be still running that are not yet reported to the peers.
	 */
	private final List<CrashReport.UpstreamIncarnation> unsentStillRunning = new ArrayList<>();

	/**
	 * Whether a task that sends a report is queued.
	 */
	private boolean sendScheduled;

	/**
	 * Whether the record that this gateway stored before it started has been read, so
	 * that it may be overwritten.
	 */
	private boolean storeRead;

	/**
	 * When the evidence of this gateway is to be stored, in milliseconds; negative if
	 * nothing is pending.
	 */
	private long storeAtMillis = -1;

	/**
	 * When evidence was last written to the store, in milliseconds.
	 */
	private long writtenAtMillis = -MIN_WRITE_INTERVAL_MILLIS;

	/**
	 * Whether the store may hold a record of this gateway.
	 */
	private boolean mayHaveRecord;

	/**
	 * Creates a coordinator without crashes.
	 * @param clock the monotonic clock
	 * @param wallClock the wall clock
	 * @param log the log
	 * @param executor runs a task after the events that are already queued
	 * @param publisher sends reports to the peers and writes them to the store
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
	 * Returns whether no crash is remembered and no request is suspected.
	 * @return {@code true} if there is nothing to check or report
	 */
	public boolean isEmpty() {
		return this.tracker.isEmpty();
	}

	/**
	 * Returns the number of suspected requests.
	 * @return the number
	 */
	public int suspectCount() {
		return this.tracker.suspectCount();
	}

	/**
	 * Returns how much longer a request is refused.
	 * @param request the fingerprint of the request
	 * @return the time in milliseconds, 0 if the request is not suspected
	 */
	public long suspectedForMillis(Fingerprint request) {
		return this.tracker.suspectedForMillis(this.clock.millis(), request);
	}

	/**
	 * Returns whether a request has to wait until the peers have reported the crash of an
	 * upstream that ran it.
	 * @param request the fingerprint of the request
	 * @return {@code true} for a fraction of a second after the crash
	 */
	public boolean awaitsEvaluation(Fingerprint request) {
		return this.tracker.awaitsEvaluation(request);
	}

	/**
	 * Records that an upstream closed the connection of a request before the response was
	 * complete.
	 * @param request the fingerprint of the request
	 * @param upstream the upstream
	 * @param runningCount the number of requests that this gateway had running there,
	 * including this one
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
	 * Records that the complete response to a request arrived.
	 * @param request the fingerprint of the request
	 */
	public void recordCompletion(Fingerprint request) {
		if (this.tracker.wasInCrash(request)) {
			this.tracker.recordCompletion(this.clock.millis(), request);
			this.unsentCompletions.add(request);
			scheduleSend();
		}
	}

	/**
	 * Records that bytes arrived from an upstream.
	 * @param upstream the upstream
	 * @param openedAtMillis when the connection was opened, in milliseconds
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
	 * Processes a report from a peer.
	 * @param report the report
	 */
	public void receive(CrashReport report) {
		long now = this.clock.millis();
		VmId peer = new VmId(report.name());
		report.crashes().forEach((crash) -> {
			log(report.name(), crash.upstream(), crash.incarnation(), crash.requests().size(), crash.runningCount());
			this.tracker.addReported(now, peer, crash);
		});
		report.completed().forEach((request) -> this.tracker.recordCompletion(now, request));
		// The time must be later than that of a crash recorded in this millisecond.
		report.stillRunning()
			.forEach((incarnation) -> this.tracker.recordReport(now, incarnation.upstream(), incarnation.incarnation(),
					now + 1));
	}

	/**
	 * Adds evidence that another gateway stored.
	 * @param report the stored report
	 */
	public void addStored(CrashReport report) {
		recentCrashes(report)
			.forEach((crash) -> this.tracker.addStored(this.clock.millis(), new VmId(report.name()), crash));
	}

	/**
	 * Restores evidence that this gateway stored before it started. Ignored once
	 * {@link #storeRead()} was called, since from then on the record is this process's
	 * own.
	 * @param report the stored report
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
	 * Records that the stored records of all gateways have been read.
	 */
	public void storeRead() {
		this.storeRead = true;
	}

	/**
	 * Evaluates the crashes that are due and stores the evidence of this gateway.
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
		int requestCount = this.unsentCompletions.size()
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
		if (!evidence.isEmpty() || !this.unsentCompletions.isEmpty() || !this.unsentStillRunning.isEmpty()) {
			this.publisher.sendToPeers(
					new CrashReport(this.publisher.name(), evidence, this.unsentCompletions, this.unsentStillRunning));
		}
		this.unsentCrashes.clear();
		this.unsentRunningCounts.clear();
		this.unsentCompletions.clear();
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
	 * Sends the reports of a gateway to its peers and to the store.
	 */
	public interface ReportPublisher {

		/**
		 * Returns the name of this gateway.
		 * @return the name
		 */
		String name();

		/**
		 * Sends a report to all peers.
		 * @param report the report
		 */
		void sendToPeers(CrashReport report);

		/**
		 * Stores a report in place of the previous one of this gateway.
		 * @param report the report, empty to delete the stored one
		 * @return completes when the store has acknowledged the write
		 */
		CompletableFuture<Void> saveToStore(Optional<CrashReport> report);

	}

}
