package org.ebonyford.reducer;

import java.util.Map;

import org.ebonyford.claim.ClaimKey;
import org.ebonyford.configuration.Upstream;
import org.ebonyford.control.ControlState;
import org.ebonyford.dispatch.Dispatch;
import org.ebonyford.effect.Effect;
import org.ebonyford.effect.Outbox;
import org.ebonyford.event.Event;
import org.ebonyford.evidence.Evidence;
import org.ebonyford.identity.Incarnation;
import org.ebonyford.identity.OrganisationId;
import org.ebonyford.identity.PoolId;
import org.ebonyford.request.Ending;
import org.ebonyford.request.Outcome;
import org.ebonyford.request.Refusal;
import org.ebonyford.request.Request;
import org.ebonyford.topology.Topology;

/**
 * Gathers evidence of what the reducer decides.
 */
final class Recorder {

	/**
	 * The milliseconds between two readings of the backlog.
	 */
	private static final long BACKLOG_MILLIS = 1_000;

	/**
	 * The milliseconds that a batch of evidence covers.
	 */
	private final long batchMillis;

	/**
	 * The process of this router.
	 */
	private final Incarnation self;

	/**
	 * Gathers the evidence, {@code null} before the first tick.
	 */
	private Evidence evidence;

	/**
	 * The wall-clock time of the last tick in milliseconds since the epoch.
	 */
	private long epochMillis;

	/**
	 * The wall-clock time at which the backlog is read next, in milliseconds since the
	 * epoch.
	 */
	private long nextBacklog;

	/**
	 * Creates a recorder.
	 * @param batchMillis the milliseconds that a batch of evidence covers
	 * @param self the process of this router
	 */
	Recorder(long batchMillis, Incarnation self) {
		this.batchMillis = batchMillis;
		this.self = self;
	}

	/**
	 * Takes in that time passed.
	 * @param now the wall-clock time in milliseconds since the epoch
	 */
	void advance(long now) {
		this.epochMillis = now;
		if (this.evidence == null) {
			this.evidence = new Evidence(this.batchMillis, this.self, now);
		}
	}

	/**
	 * Reads the backlog when it is due and hands over batches that are full.
	 * @param topology the fleet
	 * @param dispatch knows what waits
	 * @param outbox takes the batches
	 */
	void tick(Topology topology, Dispatch dispatch, Outbox outbox) {
		if (this.epochMillis >= this.nextBacklog) {
			this.nextBacklog = this.epochMillis + BACKLOG_MILLIS;
			this.evidence.members(topology.routers());
			topology.configuration().pools().keySet().forEach((pool) -> backlog(topology, dispatch, pool));
		}
		this.evidence.tick(this.epochMillis, outbox);
	}

	private void backlog(Topology topology, Dispatch dispatch, PoolId pool) {
		for (Map.Entry<OrganisationId, Integer> entry : dispatch.backlog(pool).entrySet()) {
			if (entry.getValue() > 0) {
				this.evidence.waiting(this.epochMillis, entry.getKey(), topology.configuration().weight(entry.getKey()),
						entry.getValue());
			}
		}
	}

	/**
	 * Notes that a request was sent.
	 * @param topology the fleet
	 * @param send the effect
	 */
	void sent(Topology topology, Effect.Send send) {
		Upstream upstream = topology.configuration().upstreams().get(send.upstream());
		if (upstream != null) {
			this.evidence.sent(this.epochMillis, upstream.dataCentre());
		}
	}

	/**
	 * Notes that an exchange ended.
	 * @param topology the fleet
	 * @param request the request
	 * @param event the end
	 */
	void ended(Topology topology, Request request, Event.ExchangeEnded event) {
		if (event.cost() > 0) {
			this.evidence.served(this.epochMillis, request.organisation(),
					topology.configuration().weight(request.organisation()), event.cost());
		}
		if (event.ending() == Ending.COMPLETED) {
			claimEnded(request, true, Outcome.RAN);
		}
	}

	/**
	 * Notes that a request was refused.
	 * @param request the request
	 * @param refusal the answer
	 * @param sent whether this process sent it
	 */
	void refused(Request request, Refusal refusal, boolean sent) {
		if (this.evidence != null) {
			this.evidence.refused(this.epochMillis, request.organisation(), refusal.reason());
			claimEnded(request, sent, refusal.outcome());
		}
	}

	private void claimEnded(Request request, boolean sent, Outcome outcome) {
		request.key()
			.ifPresent((key) -> this.evidence.ended(this.epochMillis, new ClaimKey(request.organisation(), key),
					request.id(), sent, outcome));
	}

	/**
	 * Notes that a control state came into force.
	 * @param state the state
	 */
	void inForce(ControlState state) {
		if (this.evidence != null) {
			this.evidence.inForce(this.epochMillis, state);
		}
	}

	/**
	 * Hands over the last batch before the process ends.
	 * @param outbox takes the batch
	 */
	void close(Outbox outbox) {
		if (this.evidence != null) {
			this.evidence.close(this.epochMillis, outbox);
		}
	}

}
