package org.ebonyford.dispatch;

import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.ebonyford.effect.Effect;
import org.ebonyford.effect.Outbox;
import org.ebonyford.fairness.Account;
import org.ebonyford.identity.GrantId;
import org.ebonyford.identity.Incarnation;
import org.ebonyford.identity.OrganisationId;
import org.ebonyford.identity.PoolId;
import org.ebonyford.identity.RequestId;
import org.ebonyford.identity.UpstreamId;
import org.ebonyford.identity.VmId;
import org.ebonyford.load.LoadReport;
import org.ebonyford.message.PeerMessage;
import org.ebonyford.message.PeerMessage.Occupied;
import org.ebonyford.request.Ending;
import org.ebonyford.request.Request;
import org.ebonyford.topology.Topology;

/**
 * Decides which request runs on which upstream and when, together with the same part of
 * all other routers. Every slot of an upstream has one owner, which alone grants it.
 */
public final class Dispatch {

	/**
	 * The pools, the upstreams and the other routers.
	 */
	private final Fleet fleet;

	/**
	 * The requests that came to this router.
	 */
	private final Entry entry;

	/**
	 * The slots that this router owns.
	 */
	private final Owner owner;

	/**
	 * What this router tells the others without being asked.
	 */
	private final Announcements announcements;

	/**
	 * The incarnations of the other routers that were seen last.
	 */
	private final Map<VmId, Incarnation> seen = new HashMap<>();

	/**
	 * Notices which processes ended long ago.
	 */
	private final EndedProcesses endedProcesses = new EndedProcesses();

	/**
	 * The clock reading in milliseconds of the last call.
	 */
	private long lastAt;

	/**
	 * Whether the process was asked to stop.
	 */
	private boolean stopping;

	/**
	 * Creates the dispatch of a router that knows nothing yet.
	 * @param settings the bounds and strategies
	 * @param self this process
	 */
	public Dispatch(DispatchSettings settings, Incarnation self) {
		this.fleet = new Fleet(settings, self);
		this.entry = new Entry(this.fleet, this::reply);
		this.owner = new Owner(this.fleet, this.entry);
		this.announcements = new Announcements(this.fleet, this.entry);
	}

	/**
	 * Puts a topology in force.
	 * @param now the clock reading in milliseconds
	 * @param topology the topology
	 * @param outbox takes the effects
	 */
	public void topology(long now, Topology topology, Outbox outbox) {
		Map<PoolState, Set<VmId>> former = new HashMap<>();
		this.fleet.pools().forEach((pool) -> former.put(pool, Set.copyOf(pool.owners())));
		List<Fleet.Moved> moved = this.fleet.apply(now, topology);
		former.forEach((pool, owners) -> welcomeNew(pool, owners, outbox));
		this.owner.refreshed();
		this.announcements.moved(now, moved, outbox);
		this.announcements.occupied(now, outbox).ifPresent((own) -> this.owner.occupied(now, self().vm(), own));
		this.entry.expire(now, outbox);
		settle(now, outbox);
	}

	/**
	 * Queues a request, which is sent or refused later, maybe at once.
	 * @param now the clock reading in milliseconds
	 * @param request the request
	 * @param outbox takes the effects
	 */
	public void enqueue(long now, Request request, Outbox outbox) {
		this.entry.enqueue(now, request, outbox).ifPresent((pool) -> settle(now, pool, outbox));
	}

	/**
	 * Gives up a request whose caller left.
	 * @param now the clock reading in milliseconds
	 * @param request the name of the request
	 * @param outbox takes the effects
	 */
	public void withdraw(long now, RequestId request, Outbox outbox) {
		this.entry.withdraw(now, request, outbox);
		flush(now, outbox);
	}

	/**
	 * Takes in that an exchange ended.
	 * @param now the clock reading in milliseconds
	 * @param request the name of the request
	 * @param ending how the exchange ended
	 * @param cost the true cost in tokens or calls, 0 if the request did not run
	 * @param answering whether a part of the upstream's answer already went to the caller
	 * @param outbox takes the effects
	 * @return what becomes of the request
	 */
	public Completion ended(long now, RequestId request, Ending ending, long cost, boolean answering, Outbox outbox) {
		Completion completion = this.entry.ended(now, request, ending, cost, answering, outbox);
		if (completion == Completion.REQUEUED) {
			this.owner.serveAll(now, outbox);
		}
		flush(now, outbox);
		return completion;
	}

	/**
	 * Takes in a load report.
	 * @param now the clock reading in milliseconds
	 * @param upstream the upstream
	 * @param report the report, or empty if the upstream could not be asked
	 * @param outbox takes the effects
	 */
	public void reported(long now, UpstreamId upstream, Optional<LoadReport> report, Outbox outbox) {
		this.fleet.upstream(upstream).ifPresent((state) -> this.owner.reported(now, state, report, outbox));
	}

	/**
	 * Takes in a message of another router. Messages that are not about dispatch are
	 * ignored.
	 * @param now the clock reading in milliseconds
	 * @param from the process that sent it
	 * @param message the message
	 * @param outbox takes the effects
	 */
	public void received(long now, Incarnation from, PeerMessage message, Outbox outbox) {
		if (message instanceof PeerMessage.Demand demand) {
			this.owner.demanded(now, from.vm(), demand, outbox);
		}
		else if (message instanceof PeerMessage.Grant grant) {
			this.entry.granted(now, from.vm(), grant, outbox);
			flush(now, outbox);
		}
		else if (message instanceof PeerMessage.GrantEnded ended) {
			this.owner.ended(now, ended.grant(), ended.ending(), ended.cost(), outbox);
		}
		else if (message instanceof Occupied occupied) {
			this.owner.occupied(now, from.vm(), occupied);
		}
		else if (message instanceof PeerMessage.Service service) {
			this.fleet.pool(service.pool()).ifPresent((pool) -> pool.ledger().received(now, from.vm(), service));
		}
	}

	/**
	 * Takes in that another router can't be reached any more.
	 * @param now the clock reading in milliseconds
	 * @param vm the VM of the router
	 * @param outbox takes the effects
	 */
	public void peerLost(long now, VmId vm, Outbox outbox) {
		this.fleet.reachable(vm, false);
		this.owner.lost(now, vm);
		this.fleet.pools().forEach((pool) -> pool.sender().forget(vm));
		settle(now, outbox);
	}

	/**
	 * Takes in that another router can be reached.
	 * @param now the clock reading in milliseconds
	 * @param peer the process of the router
	 * @param outbox takes the effects
	 */
	public void peerSeen(long now, Incarnation peer, Outbox outbox) {
		Incarnation former = this.seen.put(peer.vm(), peer);
		boolean returned = this.fleet.reachable(peer.vm(), true);
		boolean restarted = !peer.equals(former);
		if (restarted && former != null) {
			this.owner.lost(now, peer.vm());
		}
		if (!restarted && !returned) {
			return;
		}
		this.fleet.pools().forEach((pool) -> pool.sender().forget(peer.vm()));
		this.announcements.welcome(peer.vm(), outbox);
		this.announcements.occupied(now, outbox);
		settle(now, outbox);
	}

	/**
	 * Takes in which revision of the VM list another router follows. Slots that the list
	 * moved are taken over sooner once all routers are known to follow it; without these
	 * calls the handover time passes first.
	 * @param now the clock reading in milliseconds
	 * @param vm the VM of the router
	 * @param revision the revision that the router's last heartbeat told
	 */
	public void followed(long now, VmId vm, long revision) {
		this.fleet.followed(now, vm, revision);
	}

	/**
	 * Takes in that time passed.
	 * @param now the clock reading in milliseconds
	 * @param outbox takes the effects
	 */
	public void tick(long now, Outbox outbox) {
		if (this.fleet.startedUp(now)) {
			this.fleet.pools().stream().filter(PoolState::owned).forEach((pool) -> pool.ledger().informed());
		}
		takeOver(now);
		this.announcements.tick(now, outbox).ifPresent((own) -> this.owner.occupied(now, self().vm(), own));
		this.owner.tick(now);
		this.entry.expire(now, outbox);
		settle(now, outbox);
	}

	/**
	 * Takes in that the event loop stood still, so that everything with a time limit
	 * counts as lapsed.
	 * @param now the clock reading in milliseconds
	 * @param outbox takes the effects
	 */
	public void resumed(long now, Outbox outbox) {
		this.owner.suspend(now, now - this.lastAt >= this.fleet.settings().times().handover());
		this.entry.resume(now);
		this.entry.expire(now, outbox);
		flush(now, outbox);
	}

	/**
	 * Takes in that the process is to stop. Requests that wait are still served.
	 * @param now the clock reading in milliseconds
	 * @param outbox takes the effects
	 */
	public void stopping(long now, Outbox outbox) {
		this.stopping = true;
		settle(now, outbox);
	}

	/**
	 * Returns whether this router owns slots of an upstream.
	 * @param upstream the upstream
	 * @return whether it owns at least one
	 */
	public boolean owns(UpstreamId upstream) {
		return this.fleet.upstream(upstream)
			.filter((state) -> Arrays.asList(state.owners()).contains(this.fleet.self().vm()))
			.isPresent();
	}

	/**
	 * Returns whether the process was asked to stop.
	 * @return whether it stops
	 */
	public boolean stopping() {
		return this.stopping;
	}

	/**
	 * Returns whether nothing is left to do.
	 * @return whether no request waits or runs at this router
	 */
	public boolean idle() {
		return queued() == 0 && running() == 0;
	}

	/**
	 * Returns how many requests wait at this router.
	 * @return the requests
	 */
	public int queued() {
		return this.entry.queued();
	}

	/**
	 * Returns how many requests of this router run.
	 * @return the requests
	 */
	public int running() {
		return this.entry.running().size();
	}

	/**
	 * Returns how many requests of this router run on an upstream.
	 * @param upstream the upstream
	 * @return the requests
	 */
	public int runningOn(UpstreamId upstream) {
		return this.fleet.upstream(upstream).map(UpstreamState::running).orElse(0);
	}

	/**
	 * Returns how many requests an upstream bears.
	 * @param upstream the upstream
	 * @return the requests at the last call, 0 if they are not known
	 */
	public int limit(UpstreamId upstream) {
		return this.fleet.upstream(upstream).map((state) -> state.limit(this.lastAt)).orElse(0);
	}

	/**
	 * Returns how many own slots of an upstream wait until nothing else can run in them.
	 * @param upstream the upstream
	 * @return the slots
	 */
	public int blocked(UpstreamId upstream) {
		return this.fleet.upstream(upstream).map((state) -> state.slots().blocked()).orElse(0);
	}

	/**
	 * Returns the service that organisations got from a pool in the whole fleet.
	 * @param pool the pool
	 * @return the cost by organisation, as far as this router knows
	 */
	public Map<OrganisationId, Long> service(PoolId pool) {
		Map<OrganisationId, Long> service = new HashMap<>();
		this.fleet.pool(pool).ifPresent((state) -> {
			for (Account account : state.ledger().accounts()) {
				service.put(account.organisation(), account.service());
			}
		});
		return service;
	}

	/**
	 * Returns how many requests wait at this router for a pool.
	 * @param pool the pool
	 * @return the requests by organisation
	 */
	public Map<OrganisationId, Integer> backlog(PoolId pool) {
		Map<OrganisationId, Integer> backlog = new HashMap<>();
		this.fleet.pool(pool).ifPresent((state) -> {
			for (OrganisationId organisation : state.queue().organisations()) {
				backlog.put(organisation, state.queue().count(organisation));
			}
		});
		return backlog;
	}

	private void welcomeNew(PoolState pool, Set<VmId> former, Outbox outbox) {
		if (!pool.owned()) {
			return;
		}
		for (VmId owner : pool.owners()) {
			if (!former.contains(owner)) {
				this.announcements.welcome(pool, owner, outbox);
			}
		}
	}

	private void takeOver(long now) {
		if (!this.fleet.startedUp(now) || !this.endedProcesses.due(now)) {
			return;
		}
		Set<Incarnation> processes = new HashSet<>();
		this.fleet.pools().forEach((pool) -> processes.addAll(pool.ledger().origins()));
		Set<Incarnation> gone = this.endedProcesses.look(now, processes, this::gone);
		for (PoolState pool : this.fleet.pools()) {
			Set<Incarnation> taken = pool.ledger().origins();
			taken.retainAll(gone);
			if (!taken.isEmpty() && pool.first()) {
				pool.ledger().takeOver(taken);
				this.announcements.tookOver(now);
			}
		}
	}

	private boolean gone(Incarnation process) {
		if (process.vm().equals(self().vm())) {
			return process.number() < self().number();
		}
		Incarnation latest = this.seen.get(process.vm());
		boolean replaced = latest != null && latest.number() > process.number();
		return replaced
				|| this.fleet.topology().filter((present) -> present.routers().contains(process.vm())).isEmpty();
	}

	private Incarnation self() {
		return this.fleet.self();
	}

	private void reply(long now, VmId to, GrantId grant, Ending ending, long cost, Outbox outbox) {
		if (to.equals(self().vm())) {
			this.owner.ended(now, grant, ending, cost, outbox);
		}
		else {
			outbox.add(new Effect.ToPeer(to, new PeerMessage.GrantEnded(grant, ending, cost)));
		}
	}

	private void settle(long now, PoolState pool, Outbox outbox) {
		this.lastAt = now;
		this.owner.serve(now, pool, outbox);
		pool.sender().flush(now, outbox);
	}

	private void settle(long now, Outbox outbox) {
		for (PoolState pool : this.fleet.pools()) {
			settle(now, pool, outbox);
		}
	}

	private void flush(long now, Outbox outbox) {
		this.lastAt = now;
		for (PoolState pool : this.fleet.pools()) {
			pool.sender().flush(now, outbox);
		}
	}

}
