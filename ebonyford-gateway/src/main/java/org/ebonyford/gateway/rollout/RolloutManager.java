package org.ebonyford.gateway.rollout;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

import org.ebonyford.directory.Rendezvous;
import org.ebonyford.directory.UpstreamEntry;
import org.ebonyford.freshness.Freshness;
import org.ebonyford.gateway.log.EventLog;
import org.ebonyford.gateway.log.GatewayEvent;
import org.ebonyford.gateway.log.LogLine;
import org.ebonyford.gateway.log.Metrics;
import org.ebonyford.gateway.store.MetadataStore;
import org.ebonyford.gateway.store.StoreBatch;
import org.ebonyford.gateway.store.StoreRecord;
import org.ebonyford.rollout.RolloutCoordinator;
import org.ebonyford.rollout.RolloutEvidence.Counts;
import org.ebonyford.rollout.RolloutEvidence.Outcomes;
import org.ebonyford.rollout.RolloutOrder;
import org.ebonyford.rollout.RolloutPhase;
import org.ebonyford.rollout.RolloutProgress;
import org.ebonyford.rollout.RolloutReport;
import org.ebonyford.rollout.RolloutSettings;
import org.ebonyford.rollout.RolloutStatus;
import org.ebonyford.rollout.SettledView;
import org.ebonyford.time.Clock;

/**
 * Carries out the operator's orders at a gateway: restricts the versions that requests go
 * to, counts their outcomes, reports these to the coordinator of the roll-out, and
 * coordinates it if it is this gateway's turn. Without an order it does nothing.
 */
public final class RolloutManager {

	/**
	 * The least interval in milliseconds between two reports to the coordinator.
	 */
	private static final long REPORT_MILLIS = 200;

	/**
	 * The interval in milliseconds by which each gateway of the fleet spaces out reports
	 * without message on bad answers, so that the coordinator gets at most 200 a second.
	 */
	private static final long REPORT_MILLIS_PER_GATEWAY = 5;

	/**
	 * The longest interval in milliseconds between two reports while requests move: two
	 * fit into the time for which the coordinator counts what was seen in between.
	 */
	private static final long MAX_MOVING_REPORT_MILLIS = 600;

	/**
	 * The interval in milliseconds between two decisions.
	 */
	private static final long DECISION_MILLIS = 200;

	/**
	 * The interval in milliseconds between two decisions on a roll-out that has ended. It
	 * lets another gateway tell the operator if the one that ended it is gone.
	 */
	private static final long ENDED_DECISION_MILLIS = 2_000;

	/**
	 * The time in milliseconds after the last change within which an ended roll-out is
	 * still decided on at the shorter interval.
	 */
	private static final long ENDING_MILLIS = 5_000;

	/**
	 * The time in milliseconds for which progress is read after the store has come back
	 * from an older copy: twice the time within which lost records are written again.
	 */
	private static final long RESTORED_MILLIS = 10_000;

	/**
	 * The maximum age in milliseconds of the view of the store before an order is read up
	 * to which the order is new. It is above the usual age of a view through relays.
	 */
	private static final long MAX_FOLLOWED_AGE_MILLIS = 2_000;

	/**
	 * The time in milliseconds by which each later gateway waits longer before it writes
	 * again what the store has lost, so that one write suffices.
	 */
	private static final long REWRITE_DELAY_MILLIS = 300;

	/**
	 * The greatest number of such delays that a gateway waits.
	 */
	private static final int MAX_REWRITE_RANK = 8;

	/**
	 * The operator's limits.
	 */
	private final RolloutSettings settings;

	/**
	 * The orders.
	 */
	private final RolloutOrders orders;

	/**
	 * The other gateways and the upstreams.
	 */
	private final RolloutFleet fleet;

	/**
	 * The monotonic clock.
	 */
	private final Clock clock;

	/**
	 * The wall clock.
	 */
	private final Clock wall;

	/**
	 * The log.
	 */
	private final EventLog log;

	/**
	 * The metrics.
	 */
	private final Metrics metrics;

	/**
	 * Identifies the start of this process.
	 */
	private final long start;

	/**
	 * The roll-outs by service.
	 */
	private final Map<String, Running> rollouts = new HashMap<>();

	/**
	 * The newest progress that was read for each service.
	 */
	private final Map<String, RolloutProgress> saved = new HashMap<>();

	/**
	 * Writes to the store, {@code null} before the gateway listens.
	 */
	private RolloutWriter writer;

	/**
	 * Whether the progress of all orders was known once since the start.
	 */
	private boolean everKnown;

	/**
	 * Whether progress is being followed and was read at least once.
	 */
	private boolean following;

	/**
	 * The age of the view of the store as far as it matters for requests to a target.
	 */
	private final SettledView view;

	/**
	 * The age of the view of the store at the last check, in milliseconds.
	 */
	private long lastViewAge = Long.MAX_VALUE;

	/**
	 * Until when progress is read although no roll-out runs, in milliseconds.
	 */
	private long followUntil = Long.MIN_VALUE;

	/**
	 * Creates a manager without orders.
	 * @param settings the operator's limits
	 * @param orders the orders
	 * @param fleet the other gateways and the upstreams
	 * @param clock the monotonic clock
	 * @param wall the wall clock
	 * @param log the log
	 * @param metrics the metrics
	 */
	public RolloutManager(RolloutSettings settings, RolloutOrders orders, RolloutFleet fleet, Clock clock, Clock wall,
			EventLog log, Metrics metrics) {
		this.settings = settings;
		this.orders = orders;
		this.fleet = fleet;
		this.clock = clock;
		this.wall = wall;
		this.log = log;
		this.metrics = metrics;
		this.start = wall.millis();
		this.view = new SettledView(settings, clock.millis());
	}

	/**
	 * Sets the store.
	 * @param store the store
	 * @param statusEncoder encodes the status for the operator
	 */
	public void open(MetadataStore store, StatusEncoder statusEncoder) {
		this.writer = new RolloutWriter(store, statusEncoder, this::progressRead, this.log);
	}

	/**
	 * Returns whether the progress of all orders was read once. Until then a gateway that
	 * has just started could send requests to a version that is no longer to be used. To
	 * be called after the orders have been read.
	 * @return {@code false} until it was read
	 */
	public boolean progressKnown() {
		this.everKnown = this.everKnown
				|| this.rollouts.values().stream().allMatch((running) -> running.rollout.progressRead());
		return this.everKnown;
	}

	/**
	 * Takes note that orders may have changed.
	 */
	public void ordersChanged() {
		Map<String, RolloutOrder> current = this.orders.all();
		List<String> ended = this.rollouts.keySet()
			.stream()
			.filter((service) -> !current.containsKey(service))
			.toList();
		ended.forEach((service) -> {
			RolloutOrder withdrawn = this.rollouts.remove(service).rollout.order();
			this.log.write(LogLine.of(GatewayEvent.ROLLOUT_WITHDRAWN)
				.with("service", service)
				.with("target", withdrawn.target())
				.with("revision", withdrawn.revision()));
		});
		current.forEach((service, order) -> {
			Running known = this.rollouts.get(service);
			if (known == null || !known.rollout.order().equals(order)) {
				begin(order);
			}
		});
		follow();
	}

	private void begin(RolloutOrder order) {
		ServiceRollout rollout = new ServiceRollout(this.settings, order);
		Optional<RolloutProgress> known = Optional.ofNullable(this.saved.get(order.service()));
		if (this.following) {
			rollout.storeRead(known);
		}
		else {
			known.ifPresent(rollout::adopt);
		}
		rollout.refresh(this.fleet.upstreams(order.service()));
		RolloutCoordination coordination = new RolloutCoordination(this.settings, this.clock.millis());
		if (this.everKnown && this.lastViewAge <= MAX_FOLLOWED_AGE_MILLIS) {
			coordination.appeared(this.clock.millis());
		}
		rollout.progress().ifPresent((progress) -> coordination.read(progress, this.clock.millis()));
		this.rollouts.put(order.service(), new Running(rollout, coordination));
		this.log.write(LogLine.of(GatewayEvent.ROLLOUT_ORDERED)
			.with("service", order.service())
			.with("target", order.target())
			.with("duration_ms", order.durationMillis())
			.with("revision", order.revision()));
	}

	/**
	 * Takes note that the store has come back from an older copy, which may lack progress
	 * and statuses that were written.
	 */
	public void storeRestored() {
		if (!this.rollouts.isEmpty()) {
			this.followUntil = this.clock.millis() + RESTORED_MILLIS;
			this.rollouts.values().forEach((running) -> {
				running.changedAt = this.clock.millis();
				running.coordination.storeRestored();
			});
			follow();
		}
	}

	/**
	 * Reads progress only while it may change, or while the store may lack it.
	 */
	private void follow() {
		boolean running = this.rollouts.values().stream().anyMatch((one) -> !one.rollout.terminal());
		boolean wanted = running || this.clock.millis() < this.followUntil;
		this.following = this.following && wanted;
		this.fleet.followProgress(wanted);
	}

	/**
	 * Applies the newest progress records.
	 * @param batch the newest record of each service
	 */
	public void progressRead(StoreBatch batch) {
		Map<String, RolloutProgress> read = new HashMap<>();
		batch.records().forEach((record) -> decode(record).ifPresent((one) -> read.put(record.key(), one)));
		read.forEach(this::adoptRevision);
		this.saved.putAll(read);
		this.following = true;
		List.copyOf(this.rollouts.values()).forEach((running) -> {
			Optional<RolloutProgress> before = running.rollout.progress();
			running.rollout.storeRead(Optional.ofNullable(read.get(running.rollout.order().service())));
			logIfApplied(running, before);
		});
		follow();
	}

	/**
	 * Applies a progress record.
	 * @param record the record
	 */
	public void progressRead(StoreRecord record) {
		decode(record).ifPresent((read) -> {
			adoptRevision(record.key(), read);
			this.saved.put(record.key(), read);
			Running running = this.rollouts.get(record.key());
			if (running != null) {
				Optional<RolloutProgress> before = running.rollout.progress();
				running.rollout.adopt(read);
				logIfApplied(running, before);
			}
		});
		follow();
	}

	private Optional<RolloutProgress> decode(StoreRecord record) {
		Optional<RolloutProgress> read = record.value()
			.flatMap(ProgressCodec::decode)
			.filter((progress) -> progress.order().service().equals(record.key()));
		if (read.isEmpty() && record.value().isPresent()) {
			this.log.write(LogLine.of(GatewayEvent.UNREADABLE_RECORD).with("key", record.key()));
		}
		return read;
	}

	private void adoptRevision(String service, RolloutProgress read) {
		if (this.orders.adopt(read.order())) {
			this.saved.put(service, read);
			ordersChanged();
		}
	}

	private void logIfApplied(Running running, Optional<RolloutProgress> before) {
		running.rollout.progress().filter((now) -> !before.equals(Optional.of(now))).ifPresent((now) -> {
			running.changedAt = this.clock.millis();
			running.coordination.read(now, this.clock.millis());
			running.rollout.refresh(this.fleet.upstreams(now.order().service()));
			this.log.write(line(GatewayEvent.ROLLOUT_APPLIED, now));
		});
	}

	private static LogLine line(GatewayEvent event, RolloutProgress progress) {
		return LogLine.of(event)
			.with("service", progress.order().service())
			.with("target", progress.order().target())
			.with("revision", progress.order().revision())
			.with("phase", progress.phase().name())
			.with("share", progress.share())
			.with("step", progress.step())
			.with("reason", progress.reason());
	}

	/**
	 * Reports to the coordinators, and coordinates where it is this gateway's turn.
	 */
	public void tick() {
		this.lastViewAge = this.fleet.viewAgeMillis();
		settledAgeMillis();
		if (this.rollouts.isEmpty()) {
			return;
		}
		follow();
		long now = this.clock.millis();
		List.copyOf(this.rollouts.values()).forEach((running) -> {
			running.rollout.refresh(this.fleet.upstreams(running.rollout.order().service()));
			if (!running.rollout.terminal()) {
				report(running, now);
			}
			if (now - running.decidedAt >= running.decisionMillis(now) && running.rollout.progressRead()) {
				running.decidedAt = now;
				coordinate(running, now);
			}
		});
	}

	private void report(Running running, long now) {
		RolloutReport report = ownReport(running, now);
		boolean urgent = running.urgent(report);
		long interval = urgent ? REPORT_MILLIS : reportMillis(running.rollout);
		if (now - running.reportedAt < interval) {
			return;
		}
		running.reportedAt = now;
		running.reported = Optional.of(report);
		byte[] bytes = new RolloutMessage(report, this.fleet.viewAgeMillis()).encode();
		RolloutCoordination.receivers(running.rollout.order().service(), this.fleet.live())
			.stream()
			.filter((receiver) -> !receiver.equals(this.fleet.self()))
			.forEach((receiver) -> this.fleet.send(bytes, receiver));
	}

	/**
	 * Returns the interval of reports without message that the coordinator waits for.
	 * While requests move it counts only answers between two reports that follow each
	 * other soon.
	 * @param rollout the roll-out
	 * @return the interval in milliseconds
	 */
	private long reportMillis(ServiceRollout rollout) {
		long millis = Math.max(REPORT_MILLIS, REPORT_MILLIS_PER_GATEWAY * this.fleet.gatewayCount());
		boolean canary = rollout.progress().map(RolloutProgress::phase).filter(RolloutPhase.CANARY::equals).isPresent();
		return canary ? millis : Math.min(millis, MAX_MOVING_REPORT_MILLIS);
	}

	private RolloutReport ownReport(Running running, long now) {
		ServiceRollout rollout = running.rollout;
		return new RolloutReport(this.fleet.self(), this.start, rollout.order().revision(),
				rollout.progress().map(RolloutProgress::step).orElse(-1L), rollout.openElsewhere(),
				rollout.limit().requests(), rollout.outcomes().evidence(), running.coordination.orderAgeMillis(now));
	}

	private void coordinate(Running running, long now) {
		ServiceRollout rollout = running.rollout;
		if (rollout.superseded()) {
			return;
		}
		if (rollout.storeBehind()) {
			writeAgain(running, now);
			return;
		}
		running.behindSince = -1;
		RolloutCoordination.Role role = running.coordination.role(rollout.order().service(), this.fleet, now);
		if (role == RolloutCoordination.Role.NONE) {
			return;
		}
		RolloutCoordinator.Step decided = running.coordination.decide(rollout, ownReport(running, now), this.fleet, now,
				this.wall.millis());
		RolloutCoordinator.Step step = (role != RolloutCoordination.Role.COORDINATOR) ? decided.forNext() : decided;
		step.next().ifPresent((next) -> write(running, next));
		step.status()
			.filter((status) -> !running.coordination.hasPublished(status))
			.ifPresent((status) -> publishStatus(running, status));
	}

	private void write(Running running, RolloutProgress next) {
		ServiceRollout rollout = running.rollout;
		this.writer.writeProgress(rollout, next, () -> {
			Optional<RolloutProgress> before = rollout.progress();
			running.changedAt = this.clock.millis();
			running.coordination.read(next, this.clock.millis());
			rollout.adopt(next);
			this.saved.put(next.order().service(), next);
			Outcomes seen = rollout.outcomes().evidence().total();
			this.log.write(line(GatewayEvent.ROLLOUT_DECIDED, next)
				.with("before", before.map((progress) -> progress.phase().name()).orElse(""))
				.with("own_target_answers", seen.target().answers())
				.with("own_target_bad", seen.target().bad())
				.with("own_other_answers", seen.others().answers())
				.with("own_other_bad", seen.others().bad()));
			this.metrics.count("ebonyford_rollout_decisions",
					"service=\"" + next.order().service() + "\",phase=\"" + next.phase() + "\"");
			follow();
		});
	}

	/**
	 * Writes again the progress that the store has lost, some time after those gateways
	 * that come before this one.
	 * @param running the roll-out
	 * @param now the time in milliseconds
	 */
	private void writeAgain(Running running, long now) {
		running.behindSince = (running.behindSince < 0) ? now : running.behindSince;
		String service = running.rollout.order().service();
		int rank = Rendezvous.order(service, this.fleet.live()).indexOf(this.fleet.self());
		if (now - running.behindSince >= REWRITE_DELAY_MILLIS * Math.min(rank, MAX_REWRITE_RANK)) {
			running.rollout.progress().ifPresent((known) -> write(running, known));
		}
	}

	private void publishStatus(Running running, RolloutStatus status) {
		RolloutOrder order = running.rollout.order();
		this.writer.writeStatus(running.rollout, status, (appended) -> {
			running.coordination.recordPublished(status);
			if (appended) {
				this.log.write(LogLine.of(GatewayEvent.ROLLOUT_STATUS)
					.with("service", order.service())
					.with("target", order.target())
					.with("revision", order.revision())
					.with("status", status.text()));
			}
		});
	}

	/**
	 * Takes message from another gateway.
	 * @param message the message
	 */
	public void receive(RolloutMessage message) {
		this.rollouts.values()
			.stream()
			.filter((running) -> running.rollout.order().revision() == message.report().revision())
			.forEach((running) -> running.coordination.receive(message, this.clock.millis()));
	}

	/**
	 * Divides the upstreams that can take a request by whether an order lets their
	 * versions take it.
	 * @param <U> the type of an upstream
	 * @param request the request
	 * @param usable the upstreams that can take it
	 * @param entryOf returns the entry of an upstream
	 * @return the upstreams that the request is to be placed on, followed by those that
	 * may take it if the former cannot; all of them if there is no order
	 */
	public <U> List<List<U>> prefer(PlacedRequest request, List<U> usable, Function<U, UpstreamEntry> entryOf) {
		Running running = this.rollouts.get(request.service());
		if (running == null) {
			return List.of(usable);
		}
		ServiceRollout.View view = new ServiceRollout.View(settledAgeMillis(), this.fleet.gatewayCount());
		return running.rollout.prefer(request, usable, entryOf, view);
	}

	/**
	 * Returns the age of the view of the store for requests. After the store was away it
	 * stays too old for the target for a while.
	 * @return the age in milliseconds
	 */
	private long settledAgeMillis() {
		long age = this.fleet.viewAgeMillis();
		long now = this.clock.millis();
		if (age != Freshness.UNKNOWN_AGE) {
			this.view.read(now - age);
		}
		return Math.max(age, this.view.ageMillis(now));
	}

	/**
	 * Returns whether a service has an order, so that outcomes count.
	 * @param service the service
	 * @return {@code true} from the order until it is withdrawn
	 */
	public boolean ordered(String service) {
		return !this.rollouts.isEmpty() && this.rollouts.containsKey(service);
	}

	/**
	 * Returns whether most requests may go to an upstream, so that it counts as capacity.
	 * @param upstream the upstream
	 * @return {@code false} if an order keeps requests from it, or all but a few
	 */
	public boolean inUse(UpstreamEntry upstream) {
		Running running = this.rollouts.get(upstream.service());
		return running == null || running.rollout.inUse(upstream);
	}

	/**
	 * Describes the state of a service's roll-out for the log lines of a request.
	 * @param service the service
	 * @return the phase and the share, empty without an order
	 */
	public Optional<String> describe(String service) {
		return Optional.ofNullable(this.rollouts.get(service))
			.map((running) -> running.rollout.progress()
				.map((progress) -> progress.phase() + " " + progress.share() + " to " + progress.order().target())
				.orElse("ordered " + running.rollout.order().target()));
	}

	/**
	 * Counts a request that is sent to an upstream. Those to the target count before the
	 * connection is open, so that a burst of requests stays within the limit.
	 * @param service the service
	 * @param upstream the upstream
	 * @param connected whether the connection is open
	 */
	public void sent(String service, UpstreamEntry upstream, boolean connected) {
		Running running = this.rollouts.get(service);
		if (running != null && running.rollout.toTarget(upstream) != connected) {
			running.rollout.limit().sent(!connected);
		}
	}

	/**
	 * Counts what became of a request at an upstream.
	 * @param service the service
	 * @param route the name of the route
	 * @param upstream the upstream
	 * @param outcome what became of it
	 */
	public void ended(String service, String route, UpstreamEntry upstream, RequestOutcome outcome) {
		Running running = this.rollouts.get(service);
		if (running == null) {
			return;
		}
		boolean target = running.rollout.toTarget(upstream);
		outcome.count(running.rollout.outcomes(),
				new RequestOutcome.Place(route.hashCode(), target, startOf(upstream), this.clock.millis()));
		this.metrics.count("ebonyford_rollout_outcomes", "service=\"" + service + "\",side=\""
				+ (target ? "target" : "others") + "\",outcome=\"" + outcome.name() + "\"");
	}

	/**
	 * Notes that an upstream still works, as bytes of an answer arrived from it.
	 * @param upstream the upstream
	 */
	public void goesOn(UpstreamEntry upstream) {
		Running running = this.rollouts.get(upstream.service());
		if (running != null) {
			running.rollout.outcomes().goesOn(startOf(upstream), this.clock.millis());
		}
	}

	private static String startOf(UpstreamEntry upstream) {
		return upstream.id() + "/" + upstream.startedAt();
	}

	/**
	 * Returns the number of roll-outs that have not ended.
	 * @return the number
	 */
	public int runningCount() {
		return (int) this.rollouts.values().stream().filter((running) -> !running.rollout.terminal()).count();
	}

	/**
	 * Returns the greatest share of requests that goes to the target of a roll-out.
	 * @return the share, from 0 to 1
	 */
	public double greatestShare() {
		return this.rollouts.values()
			.stream()
			.flatMap((running) -> running.rollout.progress().stream())
			.mapToDouble(RolloutProgress::share)
			.max()
			.orElse(0);
	}

	/**
	 * A roll-out, and what this gateway has done for it.
	 */
	private static final class Running {

		/**
		 * The roll-out as requests see it.
		 */
		private final ServiceRollout rollout;

		/**
		 * The roll-out as its coordinator sees it.
		 */
		private final RolloutCoordination coordination;

		/**
		 * When a report was last sent, in milliseconds.
		 */
		private long reportedAt = Long.MIN_VALUE / 2;

		/**
		 * The last report, empty before the first.
		 */
		private Optional<RolloutReport> reported = Optional.empty();

		/**
		 * When the next step was last decided, in milliseconds.
		 */
		private long decidedAt = Long.MIN_VALUE / 2;

		/**
		 * Since when the store is known to lack progress, in milliseconds, negative if it
		 * does not.
		 */
		private long behindSince = -1;

		/**
		 * When its progress last changed or was lost, in milliseconds.
		 */
		private long changedAt = Long.MIN_VALUE / 2;

		Running(ServiceRollout rollout, RolloutCoordination coordination) {
			this.rollout = rollout;
			this.coordination = coordination;
		}

		long decisionMillis(long now) {
			return (this.rollout.terminal() && now - this.changedAt > ENDING_MILLIS) ? ENDED_DECISION_MILLIS
					: DECISION_MILLIS;
		}

		/**
		 * Returns whether a report tells something that the coordinator waits for: bad
		 * answers, another step applied, or the end of the requests elsewhere.
		 * @param report the report
		 * @return {@code true} if it is to be sent soon
		 */
		boolean urgent(RolloutReport report) {
			if (this.reported.isEmpty()) {
				return true;
			}
			RolloutReport last = this.reported.get();
			Counts before = last.evidence().total().target();
			Counts now = report.evidence().total().target();
			return now.bad() > before.bad() || report.step() != last.step()
					|| (report.openElsewhere() == 0 && last.openElsewhere() > 0);
		}

	}

}
