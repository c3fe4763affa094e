package org.ebonyford.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.ebonyford.effect.Effect;
import org.ebonyford.effect.Outbox;
import org.ebonyford.identity.OrganisationId;
import org.ebonyford.identity.PoolId;
import org.ebonyford.identity.VmId;
import org.ebonyford.message.PeerMessage.Demand;

/**
 * Tells the owners of a pool's slots what waits at this router. The nearest owner learns
 * of it at once, the others if it goes on waiting. Demands to one owner are spaced apart,
 * and one is sent only if it matters: where the owner would grant too much or too little.
 */
final class DemandSender {

	/**
	 * The pool.
	 */
	private final PoolId pool;

	/**
	 * The requests that wait.
	 */
	private final EntryQueue queue;

	/**
	 * The bounds in time.
	 */
	private final DispatchSettings.Times times;

	/**
	 * Decides which owners learn of requests that wait.
	 */
	private final OwnerSelection selection;

	/**
	 * What the owners were told.
	 */
	private final Map<VmId, Told> told = new HashMap<>();

	/**
	 * The owners in the own data centre that can be reached.
	 */
	private List<VmId> near = List.of();

	/**
	 * The owners in other data centres that can be reached.
	 */
	private List<VmId> far = List.of();

	/**
	 * The clock reading in milliseconds since which requests wait without a break.
	 */
	private long waitingSince;

	/**
	 * Whether requests wait.
	 */
	private boolean waiting;

	/**
	 * The number of times that requests began to wait.
	 */
	private long rounds;

	DemandSender(PoolId pool, EntryQueue queue, DispatchSettings settings) {
		this.pool = pool;
		this.queue = queue;
		this.times = settings.times();
		this.selection = settings.ownerSelection();
	}

	/**
	 * Sets the owners that can be reached.
	 * @param nearOwners the owners in the own data centre
	 * @param farOwners the owners in other data centres
	 */
	void owners(List<VmId> nearOwners, List<VmId> farOwners) {
		this.near = nearOwners;
		this.far = farOwners;
	}

	/**
	 * Takes in that the waiting requests of an organisation changed.
	 * @param now the clock reading in milliseconds
	 * @param organisation the organisation
	 */
	void changed(long now, OrganisationId organisation) {
		boolean empty = this.queue.size() == 0;
		if (!empty && !this.waiting) {
			this.waitingSince = now;
			this.rounds++;
		}
		this.waiting = !empty;
		boolean waits = this.queue.count(organisation) > 0;
		for (Told owner : this.told.values()) {
			owner.due |= owner.expects(organisation) != waits;
		}
	}

	/**
	 * Takes in that an owner granted a request.
	 * @param owner the VM of the owner
	 * @param organisation the organisation
	 */
	void granted(VmId owner, OrganisationId organisation) {
		Told record = this.told.get(owner);
		if (record != null) {
			record.counts.computeIfPresent(organisation, (key, count) -> (count > 1) ? count - 1 : null);
			record.due |= record.expects(organisation) != this.queue.count(organisation) > 0;
		}
	}

	/**
	 * Forgets what an owner was told, since it knows nothing of it any more.
	 * @param owner the VM of the owner
	 */
	void forget(VmId owner) {
		this.told.remove(owner);
	}

	/**
	 * Sends the demands that are due.
	 * @param now the clock reading in milliseconds
	 * @param outbox takes the messages
	 */
	void flush(long now, Outbox outbox) {
		if (!this.waiting && this.told.isEmpty()) {
			return;
		}
		Set<VmId> targets = this.waiting ? new HashSet<>(targets(now)) : Set.of();
		for (VmId target : targets) {
			Told record = this.told.computeIfAbsent(target, (absent) -> new Told());
			if (record.due(now)) {
				send(now, target, record, lines(now), outbox);
			}
		}
		for (Map.Entry<VmId, Told> entry : this.told.entrySet()) {
			if (!targets.contains(entry.getKey()) && entry.getValue().outdated(now)) {
				send(now, entry.getKey(), entry.getValue(), List.of(), outbox);
			}
		}
	}

	private List<VmId> targets(long now) {
		long waited = now - this.waitingSince;
		if (waited >= this.times.escalation()) {
			return this.selection.select(this.near, this.far, this.rounds + waited / this.times.refresh());
		}
		List<VmId> nearest = this.near.isEmpty() ? this.far : this.near;
		return nearest.isEmpty() ? List.of() : List.of(nearest.get((int) (this.rounds % nearest.size())));
	}

	private List<Demand.Line> lines(long now) {
		List<Demand.Line> lines = new ArrayList<>(this.queue.organisations().size());
		for (OrganisationId organisation : this.queue.organisations()) {
			Waiting first = this.queue.first(organisation);
			lines.add(new Demand.Line(organisation, this.queue.count(organisation), first.request().costHint(),
					now - first.since()));
		}
		return lines;
	}

	private void send(long now, VmId target, Told record, List<Demand.Line> lines, Outbox outbox) {
		record.counts.clear();
		for (Demand.Line line : lines) {
			record.counts.put(line.organisation(), line.count());
		}
		record.sentAt = now;
		record.due = false;
		outbox.add(new Effect.ToPeer(target, new Demand(this.pool, now, lines)));
	}

	/**
	 * What one owner was told.
	 */
	private final class Told {

		/**
		 * The requests that the owner still expects to wait.
		 */
		private final Map<OrganisationId, Integer> counts = new HashMap<>();

		/**
		 * The clock reading in milliseconds of the last demand.
		 */
		private long sentAt = Long.MIN_VALUE / 2;

		/**
		 * Whether the owner has a false idea of which organisations wait.
		 */
		private boolean due = true;

		private boolean expects(OrganisationId organisation) {
			return this.counts.containsKey(organisation);
		}

		private boolean outdated(long now) {
			return !this.counts.isEmpty() && now - this.sentAt >= DemandSender.this.times.correction();
		}

		private boolean due(long now) {
			long age = now - this.sentAt;
			long spacing = this.counts.isEmpty() ? DemandSender.this.times.demand()
					: DemandSender.this.times.correction();
			return (this.due && age >= spacing) || age >= DemandSender.this.times.refresh();
		}

	}

}
