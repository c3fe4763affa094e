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
import org.ebonyford.suspect.PartTracker;
import org.ebonyford.suspect.SuspectSettings;
import org.ebonyford.suspect.SuspectTracker;
import org.ebonyford.suspect.UnansweredPrompt;
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
	 * What is not yet reported to the peers of each crash.
	 */
	private final Map<CrashReport.UpstreamIncarnation, UnsentCrash> unsentCrashes = new LinkedHashMap<>();

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
	 * Returns the number of suspected parts of prompts.
	 * @return the number
	 */
	public int suspectedPartCount() {
		return parts().suspected(this.clock.millis()).size();
	}

	/**
	 * Returns how much longer a request is refused.
	 * @param request the fingerprint of the request
	 * @param sharedParts the parts of its prompt that other prompts may share
	 * @return the time in milliseconds, 0 if neither the request nor a part is suspected
	 */
	public long suspectedForMillis(Fingerprint request, List<Long> sharedParts) {
		long now = this.clock.millis();
		return Math.max(this.tracker.suspectedForMillis(now, request), parts().suspectedForMillis(now, sharedParts));
	}

	/**
	 * Returns whether a request has to wait until the peers have reported the crash of an
	 * upstream that ran it, or a prompt with a part of its prompt.
	 * @param request the fingerprint of the request
	 * @param sharedParts the parts of its prompt that other prompts may share
	 * @return {@code true} for a fraction of a second after the crash
	 */
	public boolean awaitsEvaluation(Fingerprint request, List<Long> sharedParts) {
		return this.tracker.awaitsEvaluation(request) || parts().awaitsEvaluation(sharedParts);
	}

	private PartTracker parts() {
		return this.tracker.parts();
	}

	/**
	 * Records that an upstream closed the connection of a request before the response was
	 * complete.
	 * @param request the fingerprint of the request
	 * @param upstream the upstream
	 * @param runningCount the number of requests that this gateway had running there,
	 * including this one
	 * @param prompt the prompt of the request, empty if it has none or if the upstream
	 * had been answering it for a while
	 */
	public void recordCrash(Fingerprint request, UpstreamEntry upstream, int runningCount,
			Optional<UnansweredPrompt> prompt) {
		CrashReport.UpstreamIncarnation incarnation = incarnationOf(upstream);
		long now = this.clock.millis();
		this.tracker.recordCrash(now, request, incarnation.upstream(), incarnation.incarnation(), runningCount,
				new Outbox());
		UnsentCrash unsent = this.unsentCrashes.computeIfAbsent(incarnation, (key) -> new UnsentCrash());
		unsent.requests.add(request);
		unsent.runningCount = Math.max(unsent.runningCount, runningCount);
		prompt.ifPresent((value) -> {
			this.tracker.recordUnansweredPrompt(now, incarnation.upstream(), incarnation.incarnation(), value);
			unsent.prompts.put(value.id(), value);
		});
		scheduleStore(this.tracker.wasInSeveralCrashes(request)
				? Math.max(now, this.writtenAtMillis + MIN_WRITE_INTERVAL_MILLIS) : now + STORE_DELAY_MILLIS);
		scheduleSend();
	}

	/**
	 * Records that an upstream went on after it began to answer a prompt.
	 * @param sharedParts the parts of the prompt that other prompts may share
	 */
	public void recordSurvival(List<Long> sharedParts) {
		parts().recordSurvival(this.clock.millis(), sharedParts);
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
		report.survivedParts().forEach((part, age) -> parts().receiveSurvival(now, part, age));
		report.suspectedParts().forEach((part, remaining) -> parts().receiveSuspicion(now, part, remaining));
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
		adoptStoredSuspicions(report);
	}

	/**
	 * Adopts the parts that a gateway suspected when it stored its evidence. Their times
	 * are since the epoch.
	 * @param report the stored report
	 */
	private void adoptStoredSuspicions(CrashReport report) {
		long wallMillis = this.wallClock.millis();
		report.suspectedParts().forEach((part, until) -> {
			if (until > wallMillis) {
				parts().receiveSuspicion(this.clock.millis(), part, until - wallMillis);
			}
		});
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
			adoptStoredSuspicions(report);
		}
	}

	private Stream<CrashEvidence> recentCrashes(CrashReport report) {
		long oldestMillis = this.wallClock.millis() - this.settings.suspicionMillis();
		return report.crashes().stream().filter((crash) -> crash.knownAtMillis() > oldestMillis);
	}

	/**
	 * Stores the evidence of this gateway again, since the store has come back from an
	 * older copy.
	 */
	public void storeRestored() {
		scheduleStore(this.clock.millis());
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
		evaluateParts(now);
		boolean due = this.storeAtMillis >= 0 && now >= this.storeAtMillis;
		boolean expired = this.storeAtMillis < 0 && this.mayHaveRecord && isEmpty();
		if (this.storeRead && (due || expired)) {
			store(now);
		}
	}

	/**
	 * Evaluates the parts of prompts, and tells the peers which ones crash upstreams and
	 * which ones do not.
	 * @param now the current time in milliseconds
	 */
	private void evaluateParts(long now) {
		List<Long> found = parts().tick(now);
		found.forEach(
				(part) -> this.log.write(LogLine.of(GatewayEvent.PART_SUSPECTED).with("part", Long.toHexString(part))));
		Map<Long, Long> survivals = parts().takeSurvivalsToAnnounce(now);
		if (!found.isEmpty() || !survivals.isEmpty()) {
			Map<Long, Long> suspected = parts().suspected(now);
			suspected.keySet().retainAll(found);
			this.publisher.sendToPeers(CrashReport.ofParts(this.publisher.name(), survivals, suspected));
		}
		if (!found.isEmpty()) {
			scheduleStore(Math.max(now, this.writtenAtMillis + MIN_WRITE_INTERVAL_MILLIS));
		}
	}

	private void store(long now) {
		List<CrashEvidence> own = newestToStore(this.tracker.ownEvidence());
		Map<Long, Long> suspectedParts = parts().suspected(now);
		this.storeAtMillis = -1;
		boolean nothing = own.isEmpty() && suspectedParts.isEmpty();
		if (nothing && !this.mayHaveRecord) {
			return;
		}
		long epochOffsetMillis = this.wallClock.millis() - now;
		suspectedParts.replaceAll((part, remaining) -> this.wallClock.millis() + remaining);
		CrashReport report = CrashReport
			.ofCrashes(this.publisher.name(),
					own.stream()
						.map((crash) -> crash.withKnownAtMillis(crash.knownAtMillis() + epochOffsetMillis))
						.toList())
			.withSuspectedParts(suspectedParts);
		this.mayHaveRecord = !nothing;
		this.writtenAtMillis = now;
		this.publisher.saveToStore(nothing ? Optional.empty() : Optional.of(report)).whenComplete((done, failure) -> {
			if (failure != null) {
				this.mayHaveRecord = true;
				scheduleStore(this.clock.millis() + MIN_WRITE_INTERVAL_MILLIS);
			}
		});
	}

	private static List<CrashEvidence> newestToStore(List<CrashEvidence> crashes) {
		int size = 0;
		int firstIndex = crashes.size();
		while (firstIndex > 0 && size + size(crashes.get(firstIndex - 1)) <= MAX_STORED_REQUESTS) {
			firstIndex--;
			size += size(crashes.get(firstIndex));
		}
		return crashes.subList(firstIndex, crashes.size());
	}

	/**
	 * Returns the size of evidence in a report as a number of requests, each of which
	 * takes as much as two parts of prompts.
	 * @param crash the evidence
	 * @return the number
	 */
	private static int size(CrashEvidence crash) {
		return crash.requests().size()
				+ crash.prompts().stream().mapToInt((prompt) -> 1 + prompt.parts().size() / 2).sum();
	}

	private void scheduleSend() {
		int size = this.unsentCompletions.size() + this.unsentCrashes.entrySet()
			.stream()
			.mapToInt((entry) -> size(entry.getValue().evidence(entry.getKey(), 0)))
			.sum();
		if (size >= CrashReport.MAX_REQUESTS) {
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
		this.unsentCrashes.forEach((incarnation, crash) -> evidence.add(crash.evidence(incarnation, knownAtMillis)));
		evidence.forEach((crash) -> log(this.publisher.name(), crash.upstream(), crash.incarnation(),
				crash.requests().size(), crash.runningCount()));
		if (!evidence.isEmpty() || !this.unsentCompletions.isEmpty() || !this.unsentStillRunning.isEmpty()) {
			this.publisher.sendToPeers(new CrashReport(this.publisher.name(), evidence, this.unsentCompletions,
					this.unsentStillRunning, Map.of(), Map.of()));
		}
		this.unsentCrashes.clear();
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
	 * What this gateway saw of a crash and has not yet reported.
	 */
	private static final class UnsentCrash {

		private final Set<Fingerprint> requests = new HashSet<>();

		private final Map<Long, UnansweredPrompt> prompts = new LinkedHashMap<>();

		private int runningCount;

		CrashEvidence evidence(CrashReport.UpstreamIncarnation incarnation, long knownAtMillis) {
			return new CrashEvidence(incarnation.upstream(), incarnation.incarnation(), this.requests,
					this.runningCount, knownAtMillis, List.copyOf(this.prompts.values()));
		}

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
