package org.ebonyford.gateway.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.ebonyford.directory.Rendezvous;
import org.ebonyford.rollout.RolloutCoordinator;
import org.ebonyford.rollout.RolloutCoordinator.Situation;
import org.ebonyford.rollout.RolloutProgress;
import org.ebonyford.rollout.RolloutReport;
import org.ebonyford.rollout.RolloutSettings;
import org.ebonyford.rollout.RolloutStatus;

/**
 * What a gateway knows as the coordinator of a roll-out, or as the one that would be the
 * next: the reports of the other gateways, and the status that it has published.
 */
final class RolloutCoordination {

	/**
	 * The number of gateways that get reports: the coordinator and its successor.
	 */
	static final int RECEIVERS = 2;

	/**
	 * The time in milliseconds without message from the coordinator after which its
	 * successor acts. Reports come every 200 ms, and five in a row are seldom lost.
	 */
	private static final long SUCCESSION_MILLIS = 1_000;

	/**
	 * The maximum age in milliseconds of the coordinator's view of the store: above the
	 * usual age of a view that comes through relays.
	 */
	private static final long MAX_VIEW_AGE_MILLIS = 2_000;

	/**
	 * The maximum number of reports that are kept, those of earlier starts of gateways
	 * included: several starts of each gateway of the largest fleet.
	 */
	private static final int MAX_REPORTS = 2_000;

	/**
	 * Decides the next step.
	 */
	private final RolloutCoordinator coordinator;

	/**
	 * The latest report of each start of each gateway.
	 */
	private final Map<Sender, RolloutReport> reports = new HashMap<>();

	/**
	 * When each gateway last sent message with a current view of the store, in
	 * milliseconds.
	 */
	private final Map<String, Long> messageAt = new HashMap<>();

	/**
	 * When the order became known to this gateway, in milliseconds.
	 */
	private final long knownSince;

	/**
	 * The status that the store has acknowledged, empty if none.
	 */
	private Optional<RolloutStatus> published = Optional.empty();

	RolloutCoordination(RolloutSettings settings, long knownSince) {
		this.coordinator = new RolloutCoordinator(settings);
		this.knownSince = knownSince;
	}

	/**
	 * Notes that the order has just been given, so that its time is known.
	 * @param now the time in milliseconds
	 */
	void appeared(long now) {
		this.coordinator.appeared(now);
	}

	/**
	 * Notes that progress of the order was read.
	 * @param progress the progress
	 * @param now the time in milliseconds
	 */
	void read(RolloutProgress progress, long now) {
		this.coordinator.read(progress, now);
	}

	/**
	 * Returns the time since the order.
	 * @param now the time in milliseconds
	 * @return the time in milliseconds, negative if it is not known
	 */
	long orderAgeMillis(long now) {
		return this.coordinator.orderAgeMillis(now);
	}

	/**
	 * Takes message from another gateway.
	 * @param message the message
	 * @param now the time in milliseconds
	 */
	void receive(RolloutMessage message, long now) {
		RolloutReport report = message.report();
		Sender sender = new Sender(report.gateway(), report.start());
		if (this.reports.size() < MAX_REPORTS || this.reports.containsKey(sender)) {
			this.reports.merge(sender, report, RolloutCoordination::later);
		}
		if (message.viewAgeMillis() <= MAX_VIEW_AGE_MILLIS) {
			this.messageAt.put(report.gateway(), now);
		}
	}

	/**
	 * Returns the later of two reports of a start of a gateway, as datagrams may overtake
	 * each other.
	 * @param one a report
	 * @param other another report
	 * @return the report with the greater counts
	 */
	private static RolloutReport later(RolloutReport one, RolloutReport other) {
		boolean overtaken = other.requests() < one.requests() || other.step() < one.step();
		return overtaken ? one : other;
	}

	/**
	 * Returns the gateways that get reports.
	 * @param service the service
	 * @param live the gateways that were heard recently
	 * @return the coordinator and its successor
	 */
	static List<String> receivers(String service, List<String> live) {
		List<String> order = Rendezvous.order(service, live);
		return order.subList(0, Math.min(RECEIVERS, order.size()));
	}

	/**
	 * Returns what this gateway does for the roll-out. The first choice coordinates, or
	 * the second if nothing came from the first for a while. One that has lost the store
	 * writes only what cannot wait for its view.
	 * @param service the service
	 * @param fleet the other gateways
	 * @param now the time in milliseconds
	 * @return the role
	 */
	Role role(String service, RolloutFleet fleet, long now) {
		List<String> receivers = receivers(service, fleet.live());
		int rank = receivers.indexOf(fleet.self());
		if (!fleet.peersKnown() || rank < 0) {
			return Role.NONE;
		}
		boolean silent = rank == 0
				|| now - this.messageAt.getOrDefault(receivers.get(0), this.knownSince) > SUCCESSION_MILLIS;
		return (silent && fleet.viewAgeMillis() <= MAX_VIEW_AGE_MILLIS) ? Role.COORDINATOR : Role.NEXT;
	}

	/**
	 * Decides the next step.
	 * @param rollout the roll-out
	 * @param own the report of this gateway
	 * @param fleet the other gateways
	 * @param now the time in milliseconds
	 * @param wallMillis the Unix time in milliseconds
	 * @return the step
	 */
	RolloutCoordinator.Step decide(ServiceRollout rollout, RolloutReport own, RolloutFleet fleet, long now,
			long wallMillis) {
		List<RolloutReport> all = new ArrayList<>(this.reports.values());
		all.add(own);
		Map<String, Long> lastHeard = new HashMap<>(fleet.lastHeard());
		this.messageAt
			.forEach((gateway, at) -> lastHeard.computeIfPresent(gateway, (name, heard) -> Math.max(heard, at)));
		return this.coordinator.decide(new Situation(rollout.order(), rollout.progress(), all, lastHeard,
				rollout.targetRegistered(), now, wallMillis));
	}

	boolean hasPublished(RolloutStatus status) {
		return this.published.equals(Optional.of(status));
	}

	void recordPublished(RolloutStatus status) {
		this.published = Optional.of(status);
	}

	/**
	 * Forgets the published status, as the store may have lost it.
	 */
	void storeRestored() {
		this.published = Optional.empty();
	}

	/**
	 * What a gateway does for a roll-out.
	 */
	enum Role {

		/**
		 * It reports only.
		 */
		NONE,

		/**
		 * It gathers evidence as the next coordinator, and writes only roll-backs and the
		 * status of a roll-out that has ended.
		 */
		NEXT,

		/**
		 * It writes all steps and statuses.
		 */
		COORDINATOR

	}

	/**
	 * A start of a gateway.
	 *
	 * @param gateway the name of the gateway
	 * @param start identifies the start
	 */
	private record Sender(String gateway, long start) {
	}

}
