package org.ebonyford.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.ebonyford.effect.Effect;
import org.ebonyford.effect.Outbox;
import org.ebonyford.fairness.Account;
import org.ebonyford.identity.GrantId;
import org.ebonyford.identity.OrganisationId;
import org.ebonyford.identity.VmId;
import org.ebonyford.load.LoadReport;
import org.ebonyford.message.PeerMessage.Demand;
import org.ebonyford.message.PeerMessage.Grant;
import org.ebonyford.message.PeerMessage.Occupied;
import org.ebonyford.request.Ending;
import org.ebonyford.slot.Occupant;

/**
 * The slots that this router owns, and the demand that it grants them to.
 */
final class Owner {

	/**
	 * The milliseconds for which the end of a grant is awaited that occupies no slot.
	 */
	private static final long KEEP_MILLIS = 600_000;

	/**
	 * How often slots and demand are looked through in the period of confirmations.
	 */
	private static final int TICKS = 10;

	/**
	 * The pools, the upstreams and the other routers.
	 */
	private final Fleet fleet;

	/**
	 * The requests that came to this router.
	 */
	private final Entry entry;

	/**
	 * What was charged for the grants that have not ended, by the number of the grant.
	 */
	private final Map<Long, Charge> charges = new HashMap<>();

	/**
	 * The number of the last grant.
	 */
	private long sequence;

	/**
	 * The clock reading in milliseconds at which slots and demand are looked through
	 * next.
	 */
	private long tickAt;

	/**
	 * The clock reading in milliseconds until which nothing is granted unless a fresh
	 * topology comes, since the router stood still.
	 */
	private long suspendedUntil = Long.MIN_VALUE;

	Owner(Fleet fleet, Entry entry) {
		this.fleet = fleet;
		this.entry = entry;
	}

	/**
	 * Takes in the demand of an entry router.
	 * @param now the clock reading in milliseconds
	 * @param from the VM of the entry router
	 * @param demand the demand
	 * @param outbox takes grants
	 */
	void demanded(long now, VmId from, Demand demand, Outbox outbox) {
		this.fleet.pool(demand.pool()).ifPresent((pool) -> {
			changed(now, pool, pool.demand().replace(now, from, demand));
			serve(now, pool, outbox);
		});
	}

	/**
	 * Grants free slots to the organisations that are to be served next.
	 * @param now the clock reading in milliseconds
	 * @param pool the pool
	 * @param outbox takes grants
	 */
	void serve(long now, PoolState pool, Outbox outbox) {
		if (now < this.suspendedUntil) {
			return;
		}
		Optional<Account> next = pool.ledger().next();
		while (next.isPresent()) {
			UpstreamState upstream = freest(now, pool);
			if (upstream == null) {
				return;
			}
			grant(now, pool, next.get(), upstream, outbox);
			next = pool.ledger().next();
		}
	}

	/**
	 * Grants free slots of all pools.
	 * @param now the clock reading in milliseconds
	 * @param outbox takes grants
	 */
	void serveAll(long now, Outbox outbox) {
		for (PoolState pool : this.fleet.pools()) {
			serve(now, pool, outbox);
		}
	}

	/**
	 * Takes in that a grant was used up or is handed back.
	 * @param now the clock reading in milliseconds
	 * @param grant the grant
	 * @param ending how the exchange ended
	 * @param cost the true cost
	 * @param outbox takes grants
	 */
	void ended(long now, GrantId grant, Ending ending, long cost, Outbox outbox) {
		Charge charge = grant.owner().equals(this.fleet.self()) ? this.charges.remove(grant.sequence()) : null;
		if (charge == null) {
			this.fleet.upstreams().forEach((upstream) -> upstream.slots().find(grant).ifPresent((slot) -> {
				vacate(now, upstream, slot, grant, ending);
				serveAll(now, outbox);
			}));
			return;
		}
		charge.pool().correct(charge.account(), charge.cost(), cost);
		if (ending == Ending.COMPLETED) {
			charge.pool().learn(charge.account(), charge.hint(), cost);
		}
		vacate(now, charge.upstream(), charge.slot(), grant, ending);
		serve(now, charge.pool(), outbox);
	}

	/**
	 * Takes in which slots the requests of an entry router occupy.
	 * @param now the clock reading in milliseconds
	 * @param from the VM of the entry router
	 * @param occupied the slots
	 */
	void occupied(long now, VmId from, Occupied occupied) {
		for (Occupied.Slot slot : occupied.slots()) {
			Occupant occupant = new Occupant(slot.grant(), slot.organisation(), from, now, now);
			this.fleet.upstream(slot.upstream())
				.ifPresent((upstream) -> upstream.slots().seen(slot.slot(), occupant, now));
		}
	}

	/**
	 * Takes in a load report.
	 * @param now the clock reading in milliseconds
	 * @param upstream the upstream
	 * @param report the report, or empty if the upstream could not be asked
	 * @param outbox takes grants
	 */
	void reported(long now, UpstreamState upstream, Optional<LoadReport> report, Outbox outbox) {
		if (report.isEmpty()) {
			upstream.warmth().assumeCold(now);
			return;
		}
		if (upstream.warmth().recordReport(now, report.get())) {
			upstream.slots().reported(now, upstream.warmth().sampledAt(), report.get().running());
			this.fleet.pool(upstream.upstream().pool()).ifPresent((pool) -> serve(now, pool, outbox));
		}
	}

	/**
	 * Takes in that an entry router can't be reached or started anew.
	 * @param now the clock reading in milliseconds
	 * @param vm the VM of the entry router
	 */
	void lost(long now, VmId vm) {
		for (PoolState pool : this.fleet.pools()) {
			for (UpstreamState upstream : pool.upstreams()) {
				upstream.slots().lost(vm, now);
			}
			pool.ledger().lost(now, vm);
			changed(now, pool, pool.demand().forget(vm));
		}
	}

	/**
	 * Takes in that time passed.
	 * @param now the clock reading in milliseconds
	 */
	void tick(long now) {
		DispatchSettings.Times times = this.fleet.settings().times();
		if (now < this.tickAt) {
			return;
		}
		this.tickAt = now + times.confirmation() / TICKS;
		this.charges.values().removeIf((charge) -> charge.forgotten(now - KEEP_MILLIS));
		for (PoolState pool : this.fleet.pools()) {
			for (UpstreamState upstream : pool.upstreams()) {
				upstream.slots().tick(now, times.silence(), pool.orphanMillis(times));
			}
			long before = now - times.grantValidity() / 2;
			pool.demand()
				.outdated(before, this.fleet.self().vm())
				.forEach((vm) -> changed(now, pool, pool.demand().forget(vm)));
			pool.boundDebt(this.fleet.settings().debtRounds());
			pool.takeTurns();
		}
	}

	/**
	 * Grants nothing until a fresh topology and fresh reports come. A topology that has
	 * not come within the time of a start is an old one still in force.
	 * @param now the clock reading in milliseconds
	 * @param moved whether slots may have had other owners meanwhile
	 */
	void suspend(long now, boolean moved) {
		this.suspendedUntil = now + this.fleet.settings().times().startUp();
		for (UpstreamState upstream : this.fleet.upstreams()) {
			upstream.warmth().invalidateSamples(now);
			upstream.slots().confirm(now);
			if (moved) {
				upstream.slots().await(now + this.fleet.settings().times().handover());
			}
		}
		for (PoolState pool : this.fleet.pools()) {
			for (VmId peer : this.fleet.peers()) {
				changed(now, pool, pool.demand().forget(peer));
			}
		}
	}

	/**
	 * Takes in that a fresh topology came.
	 */
	void refreshed() {
		this.suspendedUntil = Long.MIN_VALUE;
	}

	private void changed(long now, PoolState pool, Collection<OrganisationId> organisations) {
		for (OrganisationId organisation : organisations) {
			pool.demandChanged(now, organisation);
		}
	}

	private UpstreamState freest(long now, PoolState pool) {
		UpstreamState freest = null;
		for (UpstreamState upstream : pool.upstreams()) {
			if (upstream.freeSlot(now) >= 0 && (freest == null || upstream.load(now) < freest.load(now))) {
				freest = upstream;
			}
		}
		return freest;
	}

	private void grant(long now, PoolState pool, Account account, UpstreamState upstream, Outbox outbox) {
		OrganisationId organisation = account.organisation();
		DemandTable.Turn turn = pool.demand().take(organisation).orElseThrow();
		pool.demandChanged(now, organisation);
		GrantId grant = new GrantId(this.fleet.self(), ++this.sequence);
		long validity = this.fleet.settings().times().grantValidity();
		int slot = upstream.freeSlot(now);
		long cost = account.estimate().estimate(turn.hint());
		upstream.slots().occupy(slot, new Occupant(grant, organisation, turn.entry(), now, now + validity));
		this.charges.put(grant.sequence(), new Charge(grant, now, pool, account, upstream, slot, turn.hint(), cost));
		pool.ledger().charge(account, cost);
		if (turn.entry().equals(this.fleet.self().vm())) {
			Entry.Permission permission = new Entry.Permission(grant, upstream, slot, now + validity);
			if (!this.entry.start(now, pool, organisation, permission, outbox)) {
				ended(now, grant, Ending.NOT_SENT, 0, outbox);
			}
		}
		else {
			outbox.add(new Effect.ToPeer(turn.entry(),
					new Grant(grant, upstream.upstream().id(), upstream.warmth().incarnation().orElseThrow(), slot,
							pool.pool().id(), organisation, cost, turn.sentAt(), validity)));
		}
	}

	private void vacate(long now, UpstreamState upstream, int slot, GrantId grant, Ending ending) {
		DispatchSettings settings = this.fleet.settings();
		switch (ending) {
			case COMPLETED -> {
				upstream.completed();
				upstream.slots().vacate(slot, grant);
			}
			case NOT_SENT -> upstream.slots().vacate(slot, grant);
			case DECLINED -> {
				upstream.failed(now, settings.retries());
				upstream.warmth().assumeCold(now);
				upstream.slots().vacate(slot, grant);
			}
			case BROKEN -> {
				upstream.failed(now, settings.retries());
				upstream.warmth().assumeCold(now);
				upstream.slots().hold(slot, grant, now, now + settings.times().abandoned());
			}
			case CANCELLED -> upstream.slots().hold(slot, grant, now, now + settings.times().cancelled());
		}
	}

}
