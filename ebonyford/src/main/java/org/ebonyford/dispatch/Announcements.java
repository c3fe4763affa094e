package org.ebonyford.dispatch;

import java.util.List;
import java.util.Optional;

import org.ebonyford.effect.Effect;
import org.ebonyford.effect.Outbox;
import org.ebonyford.identity.Incarnation;
import org.ebonyford.identity.VmId;
import org.ebonyford.message.PeerMessage.Occupied;
import org.ebonyford.message.PeerMessage.Service;

/**
 * What a router tells the others without being asked: which slots its requests occupy and
 * what service it charged.
 */
final class Announcements {

	/**
	 * How long this router repeats that it took over totals, in milliseconds.
	 */
	private static final long REPEAT_MILLIS = 60_000;

	/**
	 * The milliseconds between two repetitions.
	 */
	private static final long REPEAT_PERIOD_MILLIS = 10_000;

	/**
	 * The pools, the upstreams and the other routers.
	 */
	private final Fleet fleet;

	/**
	 * The requests that came to this router.
	 */
	private final Entry entry;

	/**
	 * The clock reading in milliseconds at which the next confirmation is due.
	 */
	private long confirmAt;

	/**
	 * The clock reading in milliseconds at which the next period of the estimate of what
	 * others charge begins.
	 */
	private long rollAt;

	/**
	 * The clock reading in milliseconds at which the next gossip is due.
	 */
	private long gossipAt;

	/**
	 * The clock reading in milliseconds until which takeovers are repeated.
	 */
	private long repeatUntil = Long.MIN_VALUE;

	/**
	 * The clock reading in milliseconds at which takeovers are repeated next.
	 */
	private long repeatAt;

	Announcements(Fleet fleet, Entry entry) {
		this.fleet = fleet;
		this.entry = entry;
	}

	/**
	 * Sends what is due.
	 * @param now the clock reading in milliseconds
	 * @param outbox takes the messages
	 * @return what this router is to know itself as an owner, or empty if no confirmation
	 * is due
	 */
	Optional<Occupied> tick(long now, Outbox outbox) {
		if (now >= this.rollAt) {
			this.rollAt = now + this.fleet.settings().times().gossip() / 2;
			this.fleet.pools().forEach(PoolState::roll);
		}
		if (now >= this.gossipAt) {
			this.gossipAt = now + this.fleet.settings().times().gossip();
			gossip(now, outbox);
			this.entry.age(now);
		}
		return (now >= this.confirmAt) ? occupied(now, outbox) : Optional.empty();
	}

	/**
	 * Tells the owners of an upstream's slots which of all its slots the requests of this
	 * router occupy.
	 * @param now the clock reading in milliseconds
	 * @param outbox takes the messages
	 * @return what this router is to know itself as an owner
	 */
	Optional<Occupied> occupied(long now, Outbox outbox) {
		this.confirmAt = now + this.fleet.settings().times().confirmation();
		Fleet.ByVm<Occupied.Slot> slots = new Fleet.ByVm<>();
		for (Running running : this.entry.running()) {
			Occupied.Slot slot = new Occupied.Slot(running.upstream().upstream().id(), running.slot(), running.grant(),
					running.waiting().request().organisation());
			running.upstream().distinctOwners().forEach((owner) -> slots.add(owner, slot));
		}
		List<Occupied.Slot> own = slots.remove(this.fleet.self().vm());
		send(now, slots, outbox);
		return Optional.ofNullable(own).map((list) -> new Occupied(now, list));
	}

	/**
	 * Tells the new owners of slots what occupies them.
	 * @param now the clock reading in milliseconds
	 * @param moved the slots that this router let go
	 * @param outbox takes the messages
	 */
	void moved(long now, List<Fleet.Moved> moved, Outbox outbox) {
		Fleet.ByVm<Occupied.Slot> slots = new Fleet.ByVm<>();
		for (Fleet.Moved slot : moved) {
			slots.add(slot.owner(), new Occupied.Slot(slot.upstream().upstream().id(), slot.slot(),
					slot.occupant().grant(), slot.occupant().organisation()));
		}
		send(now, slots, outbox);
	}

	/**
	 * Tells a process that is new all service that is known.
	 * @param vm the VM of the process
	 * @param outbox takes the messages
	 */
	void welcome(VmId vm, Outbox outbox) {
		this.fleet.pools().forEach((pool) -> welcome(pool, vm, outbox));
	}

	/**
	 * Tells a router all service of one pool that is known.
	 * @param pool the pool
	 * @param vm the VM of the router
	 * @param outbox takes the messages
	 */
	void welcome(PoolState pool, VmId vm, Outbox outbox) {
		pool.ledger().rows().forEach((origin, rows) -> tell(pool, vm, origin, rows, outbox));
		pool.ledger().closed().forEach((origin) -> tell(pool, vm, origin, List.of(), outbox));
	}

	/**
	 * Takes in that this router took over totals of ended processes. It tells so with the
	 * next gossip and repeats it for a while, since messages may be lost.
	 * @param now the clock reading in milliseconds
	 */
	void tookOver(long now) {
		this.repeatUntil = now + REPEAT_MILLIS;
		this.repeatAt = now;
	}

	private void gossip(long now, Outbox outbox) {
		boolean repeat = now >= this.repeatAt && now <= this.repeatUntil;
		if (repeat) {
			this.repeatAt = now + REPEAT_PERIOD_MILLIS;
		}
		for (PoolState pool : this.fleet.pools()) {
			List<Service.Row> changes = pool.ledger().drainChanges();
			List<Service.Row> rows = repeat ? pool.ledger().ownRows() : changes;
			List<Incarnation> closed = repeat ? pool.ledger().closed() : List.of();
			for (VmId peer : pool.owners()) {
				if (!rows.isEmpty()) {
					tell(pool, peer, pool.ledger().self(), rows, outbox);
				}
				closed.forEach((origin) -> tell(pool, peer, origin, List.of(), outbox));
			}
		}
	}

	private void tell(PoolState pool, VmId to, Incarnation origin, List<Service.Row> rows, Outbox outbox) {
		outbox.add(new Effect.ToPeer(to, new Service(origin, pool.pool().id(), rows)));
	}

	private void send(long now, Fleet.ByVm<Occupied.Slot> slots, Outbox outbox) {
		slots.forEach((owner, list) -> outbox.add(new Effect.ToPeer(owner, new Occupied(now, list))));
	}

}
