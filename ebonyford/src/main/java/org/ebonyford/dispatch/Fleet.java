package org.ebonyford.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import org.ebonyford.configuration.Pool;
import org.ebonyford.configuration.Upstream;
import org.ebonyford.fairness.CostEstimate;
import org.ebonyford.fairness.ServiceLedger;
import org.ebonyford.identity.DataCentreId;
import org.ebonyford.identity.Incarnation;
import org.ebonyford.identity.PoolId;
import org.ebonyford.identity.UpstreamId;
import org.ebonyford.identity.VmId;
import org.ebonyford.slot.Occupant;
import org.ebonyford.slot.SlotTable;
import org.ebonyford.topology.Topology;
import org.ebonyford.warmup.WarmUpState;

/**
 * The pools, the upstreams and the other routers as this router sees them.
 */
final class Fleet {

	/**
	 * The bounds and strategies.
	 */
	private final DispatchSettings settings;

	/**
	 * This process.
	 */
	private final Incarnation self;

	/**
	 * The pools in the order of their names.
	 */
	private final Map<PoolId, PoolState> pools = new TreeMap<>();

	/**
	 * The upstreams in the order of their names.
	 */
	private final Map<UpstreamId, UpstreamState> upstreams = new TreeMap<>();

	/**
	 * The VMs of the routers that can't be reached.
	 */
	private final Set<VmId> lost = new HashSet<>();

	/**
	 * The revisions of the VM list that the other routers follow.
	 */
	private final Map<VmId, Long> revisions = new HashMap<>();

	/**
	 * The routers that left the list, by the clock reading in milliseconds until which
	 * they may not have read the list without them.
	 */
	private final Map<VmId, Long> departed = new HashMap<>();

	/**
	 * The fleet's topology, or {@code null} before the first one.
	 */
	private Topology topology;

	/**
	 * The clock reading in milliseconds from which slots that nobody owned before may be
	 * granted.
	 */
	private long startedUpAt;

	Fleet(DispatchSettings settings, Incarnation self) {
		this.settings = settings;
		this.self = self;
	}

	DispatchSettings settings() {
		return this.settings;
	}

	Incarnation self() {
		return this.self;
	}

	Collection<PoolState> pools() {
		return this.pools.values();
	}

	Optional<PoolState> pool(PoolId id) {
		return Optional.ofNullable(this.pools.get(id));
	}

	/**
	 * Returns whether a pool is a part of the configuration in force.
	 * @param id the name of the pool
	 * @return whether it is configured
	 */
	boolean configured(PoolId id) {
		return this.topology != null && this.topology.configuration().pools().containsKey(id);
	}

	Collection<UpstreamState> upstreams() {
		return this.upstreams.values();
	}

	Optional<UpstreamState> upstream(UpstreamId id) {
		return Optional.ofNullable(this.upstreams.get(id));
	}

	Optional<Topology> topology() {
		return Optional.ofNullable(this.topology);
	}

	/**
	 * Returns whether the start of this router is over, so that it knows what the others
	 * know.
	 * @param now the clock reading in milliseconds
	 * @return whether it is over
	 */
	boolean startedUp(long now) {
		return this.topology != null && now >= this.startedUpAt;
	}

	/**
	 * Returns the other routers that can be reached.
	 * @return the VMs of the routers
	 */
	List<VmId> peers() {
		List<VmId> peers = new ArrayList<>();
		if (this.topology != null) {
			for (VmId router : this.topology.routers()) {
				if (!router.equals(this.self.vm()) && !this.lost.contains(router)) {
					peers.add(router);
				}
			}
		}
		return peers;
	}

	/**
	 * Takes in whether a router can be reached.
	 * @param vm the VM of the router
	 * @param reachable whether it can be reached
	 * @return whether this is news
	 */
	boolean reachable(VmId vm, boolean reachable) {
		boolean changed = reachable ? this.lost.remove(vm) : this.lost.add(vm);
		if (!reachable) {
			this.revisions.remove(vm);
		}
		if (changed && this.topology != null) {
			selectOwners();
		}
		return changed;
	}

	/**
	 * Takes in which revision of the VM list another router follows.
	 * @param now the clock reading in milliseconds
	 * @param vm the VM of the router
	 * @param revision the revision
	 */
	void followed(long now, VmId vm, long revision) {
		Long former = this.revisions.put(vm, revision);
		if (former == null || former < revision) {
			confirm(now);
		}
	}

	/**
	 * Puts a topology in force.
	 * @param now the clock reading in milliseconds
	 * @param next the topology
	 * @return what occupies the slots that this router let go
	 */
	List<Moved> apply(long now, Topology next) {
		if (this.topology == null) {
			this.startedUpAt = now + this.settings.times().startUp();
		}
		Move move = move(now, next);
		depart(now, next);
		this.topology = next;
		this.pools.values().forEach((pool) -> pool.configure(pool.pool()));
		this.upstreams.values().forEach(UpstreamState::close);
		next.configuration().pools().values().forEach(this::configure);
		List<Moved> moved = new ArrayList<>();
		Map<DataCentreId, List<VmId>> candidates = new HashMap<>();
		for (Upstream upstream : new TreeMap<>(next.configuration().upstreams()).values()) {
			List<VmId> owners = candidates.computeIfAbsent(upstream.dataCentre(), next::ownersFor);
			configure(upstream, owners, move, moved);
		}
		selectOwners();
		confirm(now);
		return moved;
	}

	private void configure(Pool pool) {
		PoolState state = this.pools.get(pool.id());
		if (state == null) {
			ServiceLedger ledger = new ServiceLedger(this.self, this.settings.times().idle(),
					CostEstimate.OfRatio::new);
			state = new PoolState(this.self.vm(), pool, ledger, this.settings);
			this.pools.put(pool.id(), state);
		}
		state.configure(pool);
		state.ledger().weights(this.topology.configuration()::weight);
	}

	private Move move(long now, Topology next) {
		boolean listed = this.topology == null || this.topology.listRevision() != next.listRevision();
		return new Move(now + this.settings.times().handover(), listed ? next.listRevision() : Long.MAX_VALUE);
	}

	private void depart(long now, Topology next) {
		if (this.topology != null) {
			for (VmId router : this.topology.routers()) {
				this.departed.put(router, now + this.settings.times().handover());
			}
		}
		this.departed.keySet().removeAll(next.routers());
	}

	private void confirm(long now) {
		if (this.topology == null) {
			return;
		}
		long all = Long.MAX_VALUE - 1;
		this.departed.values().removeIf((until) -> until < now);
		Set<VmId> others = new HashSet<>(this.topology.routers());
		others.addAll(this.departed.keySet());
		others.remove(this.self.vm());
		for (VmId router : others) {
			all = Math.min(all, this.revisions.getOrDefault(router, Long.MIN_VALUE));
		}
		for (UpstreamState upstream : this.upstreams.values()) {
			upstream.slots().followed(all, now + this.settings.times().startUp());
		}
	}

	private void configure(Upstream upstream, List<VmId> candidates, Move move, List<Moved> moved) {
		PoolState pool = this.pools.get(upstream.pool());
		UpstreamState state = this.upstreams.get(upstream.id());
		if (state == null) {
			WarmUpState warmth = new WarmUpState(this.settings.warmUp(), this.settings.times().stale(),
					this.settings.times().lost());
			state = new UpstreamState(warmth, new SlotTable(this.settings.times().confirmation()));
			this.upstreams.put(upstream.id(), state);
		}
		state.configure(upstream, pool.pool(), this.topology.open(upstream.id()));
		pool.upstreams().add(state);
		int slots = pool.pool().warmLimit();
		if (state.candidates(candidates, slots)) {
			assign(state, owners(upstream, slots, candidates), move, moved);
		}
	}

	private VmId[] owners(Upstream upstream, int slots, List<VmId> candidates) {
		VmId[] owners = new VmId[slots];
		for (int slot = 0; slot < slots; slot++) {
			owners[slot] = this.settings.slotOwners().owner(upstream, slot, candidates).orElse(null);
		}
		return owners;
	}

	private void assign(UpstreamState state, VmId[] owners, Move move, List<Moved> moved) {
		VmId[] former = state.owners();
		state.owners(owners);
		for (int slot = 0; slot < Math.max(former.length, owners.length); slot++) {
			boolean owned = state.slots().owns(slot);
			boolean owns = slot < owners.length && this.self.vm().equals(owners[slot]);
			if (owned && !owns) {
				letGo(state, slot, moved);
			}
			else if (owns && !owned) {
				state.slots().take(slot, move.availableAt(), move.revision());
			}
		}
	}

	private void letGo(UpstreamState state, int slot, List<Moved> moved) {
		state.slots()
			.letGo(slot)
			.flatMap((occupant) -> state.owner(slot).map((owner) -> new Moved(state, slot, owner, occupant)))
			.ifPresent(moved::add);
	}

	private void selectOwners() {
		for (PoolState pool : this.pools.values()) {
			Set<VmId> near = new TreeSet<>();
			Set<VmId> far = new TreeSet<>();
			for (UpstreamState upstream : pool.upstreams()) {
				if (upstream.open()) {
					boolean local = upstream.upstream().dataCentre().equals(this.topology.dataCentre());
					collect(upstream, local ? near : far);
				}
			}
			far.removeAll(near);
			pool.owners(List.copyOf(near), List.copyOf(far));
		}
	}

	private void collect(UpstreamState upstream, Set<VmId> into) {
		upstream.distinctOwners()
			.stream()
			.filter((owner) -> !owner.equals(this.self.vm()) && !this.lost.contains(owner))
			.forEach(into::add);
	}

	/**
	 * When slots that a topology moved may be granted.
	 *
	 * @param availableAt the clock reading in milliseconds from which they may be granted
	 * in any case
	 * @param revision the revision of the VM list after which they may be granted once
	 * all follow it, or the largest number if the list did not move them
	 */
	private record Move(long availableAt, long revision) {

	}

	/**
	 * What occupies a slot that this router let go.
	 *
	 * @param upstream the upstream
	 * @param slot the slot
	 * @param owner the new owner
	 * @param occupant the request in the slot
	 */
	record Moved(UpstreamState upstream, int slot, VmId owner, Occupant occupant) {

	}

	/**
	 * Groups messages by the router that they go to.
	 *
	 * @param <T> the type of what is sent
	 */
	static final class ByVm<T> extends LinkedHashMap<VmId, List<T>> {

		private static final long serialVersionUID = 1L;

		void add(VmId vm, T part) {
			computeIfAbsent(vm, (absent) -> new ArrayList<>()).add(part);
		}

	}

}
