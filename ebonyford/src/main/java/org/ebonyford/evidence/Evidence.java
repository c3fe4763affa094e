package org.ebonyford.evidence;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

import org.ebonyford.claim.ClaimKey;
import org.ebonyford.control.ControlState;
import org.ebonyford.effect.Effect;
import org.ebonyford.effect.Outbox;
import org.ebonyford.identity.DataCentreId;
import org.ebonyford.identity.Incarnation;
import org.ebonyford.identity.OrganisationId;
import org.ebonyford.identity.RequestId;
import org.ebonyford.identity.VmId;
import org.ebonyford.request.Outcome;
import org.ebonyford.request.RefusalReason;

/**
 * Gathers what a router did and hands it over in batches.
 */
public final class Evidence {

	/**
	 * The milliseconds of a second.
	 */
	private static final long SECOND_MILLIS = 1_000;

	/**
	 * The milliseconds that a batch covers.
	 */
	private final long batchMillis;

	/**
	 * This process.
	 */
	private final Incarnation self;

	/**
	 * The work by second and organisation.
	 */
	private final Map<Long, Map<OrganisationId, Work>> seconds = new TreeMap<>();

	/**
	 * The requests sent by second and data centre.
	 */
	private final Map<Long, Map<DataCentreId, Integer>> sends = new TreeMap<>();

	/**
	 * How requests that may not be repeated ended.
	 */
	private final List<EvidenceBatch.Claim> claims = new ArrayList<>();

	/**
	 * The control states that came into force.
	 */
	private final List<EvidenceBatch.Version> versions = new ArrayList<>();

	/**
	 * The VMs on the list of routers.
	 */
	private SortedSet<VmId> members = new TreeSet<>();

	/**
	 * Whether the list changed since the last batch.
	 */
	private boolean membersChanged;

	/**
	 * The number of the next batch.
	 */
	private long sequence;

	/**
	 * The wall-clock time in milliseconds at which the next batch begins.
	 */
	private long from;

	/**
	 * Creates evidence of nothing.
	 * @param batchMillis the milliseconds that a batch covers
	 * @param self this process
	 * @param epochMillis the wall-clock time in milliseconds since the epoch
	 * @throws IllegalArgumentException if a batch covers no time
	 */
	public Evidence(long batchMillis, Incarnation self, long epochMillis) {
		if (batchMillis < 1) {
			throw new IllegalArgumentException("A batch of evidence must cover some time");
		}
		this.batchMillis = batchMillis;
		this.self = Objects.requireNonNull(self, "self");
		this.from = epochMillis;
	}

	/**
	 * Notes that a request was sent.
	 * @param epochMillis the wall-clock time in milliseconds since the epoch
	 * @param dataCentre the data centre of the upstream
	 */
	public void sent(long epochMillis, DataCentreId dataCentre) {
		this.sends.computeIfAbsent(second(epochMillis), (second) -> new TreeMap<>()).merge(dataCentre, 1, Integer::sum);
	}

	/**
	 * Notes that an organisation was served.
	 * @param epochMillis the wall-clock time in milliseconds since the epoch
	 * @param organisation the organisation
	 * @param weight the weight of its plan
	 * @param cost the cost of what was served
	 */
	public void served(long epochMillis, OrganisationId organisation, int weight, long cost) {
		Work work = work(epochMillis, organisation);
		work.weight = weight;
		work.service += cost;
	}

	/**
	 * Notes how many requests of an organisation wait.
	 * @param epochMillis the wall-clock time in milliseconds since the epoch
	 * @param organisation the organisation
	 * @param weight the weight of its plan
	 * @param count the number of requests, at least 1
	 */
	public void waiting(long epochMillis, OrganisationId organisation, int weight, int count) {
		Work work = work(epochMillis, organisation);
		work.weight = weight;
		work.backlog = Math.max(work.backlog, count);
	}

	/**
	 * Notes that a request was refused.
	 * @param epochMillis the wall-clock time in milliseconds since the epoch
	 * @param organisation the organisation
	 * @param reason why it was refused
	 */
	public void refused(long epochMillis, OrganisationId organisation, RefusalReason reason) {
		work(epochMillis, organisation).refusals.merge(reason, 1, Integer::sum);
	}

	/**
	 * Notes how a request that may not be repeated ended.
	 * @param epochMillis the wall-clock time in milliseconds since the epoch
	 * @param key the key of the request
	 * @param request the request
	 * @param sent whether this process sent it
	 * @param outcome what the caller was told
	 */
	public void ended(long epochMillis, ClaimKey key, RequestId request, boolean sent, Outcome outcome) {
		this.claims.add(new EvidenceBatch.Claim(epochMillis, key, request, sent, outcome));
	}

	/**
	 * Notes that a control state came into force at this process.
	 * @param epochMillis the wall-clock time in milliseconds since the epoch
	 * @param state the state
	 */
	public void inForce(long epochMillis, ControlState state) {
		this.versions.add(new EvidenceBatch.Version(epochMillis, state.version(),
				state.dataCentresOut().stream().sorted().toList(), state.vmsOut().stream().sorted().toList(),
				state.upstreamsOut().stream().sorted().toList()));
	}

	/**
	 * Notes which VMs are on the list of routers, so that one that shows nothing is
	 * missed.
	 * @param routers the VMs
	 */
	public void members(SortedSet<VmId> routers) {
		this.membersChanged |= !this.members.equals(routers);
		this.members = new TreeSet<>(routers);
	}

	/**
	 * Hands a batch over if its time has passed.
	 * @param epochMillis the wall-clock time in milliseconds since the epoch
	 * @param outbox takes the effects
	 */
	public void tick(long epochMillis, Outbox outbox) {
		if (epochMillis >= this.from + this.batchMillis) {
			hand(epochMillis, false, outbox);
		}
	}

	/**
	 * Hands the last batch over, since the process stops.
	 * @param epochMillis the wall-clock time in milliseconds since the epoch
	 * @param outbox takes the effects
	 */
	public void close(long epochMillis, Outbox outbox) {
		hand(Math.max(epochMillis, this.from), true, outbox);
	}

	private void hand(long to, boolean last, Outbox outbox) {
		outbox.add(new Effect.AppendEvidence(
				new EvidenceBatch(this.self, this.sequence++, this.from, to, last, secondRows(), sendRows(),
						this.claims, this.versions, this.membersChanged ? List.copyOf(this.members) : List.of())));
		this.from = to;
		this.membersChanged = false;
		this.seconds.clear();
		this.sends.clear();
		this.claims.clear();
		this.versions.clear();
	}

	private List<EvidenceBatch.Second> secondRows() {
		List<EvidenceBatch.Second> rows = new ArrayList<>();
		this.seconds.forEach((second, organisations) -> organisations
			.forEach((organisation, work) -> rows.add(work.row(second, organisation))));
		return rows;
	}

	private List<EvidenceBatch.Sends> sendRows() {
		List<EvidenceBatch.Sends> rows = new ArrayList<>();
		this.sends.forEach((second, counts) -> counts
			.forEach((dataCentre, count) -> rows.add(new EvidenceBatch.Sends(second, dataCentre, count))));
		return rows;
	}

	private Work work(long epochMillis, OrganisationId organisation) {
		return this.seconds.computeIfAbsent(second(epochMillis), (second) -> new TreeMap<>())
			.computeIfAbsent(organisation, (name) -> new Work());
	}

	private static long second(long epochMillis) {
		return Math.floorDiv(epochMillis, SECOND_MILLIS);
	}

	/**
	 * The work for one organisation in one second.
	 */
	private static final class Work {

		/**
		 * The refusals by reason.
		 */
		private final Map<RefusalReason, Integer> refusals = new TreeMap<>();

		/**
		 * The weight of the organisation's plan.
		 */
		private int weight = 1;

		/**
		 * The cost of what was served.
		 */
		private long service;

		/**
		 * The most requests that waited.
		 */
		private int backlog;

		private EvidenceBatch.Second row(long second, OrganisationId organisation) {
			List<EvidenceBatch.Refusals> rows = this.refusals.entrySet()
				.stream()
				.map((entry) -> new EvidenceBatch.Refusals(entry.getKey(), entry.getValue()))
				.toList();
			return new EvidenceBatch.Second(second, organisation, this.weight, this.service, this.backlog, rows);
		}

	}

}
