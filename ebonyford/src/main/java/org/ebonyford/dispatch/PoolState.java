package org.ebonyford.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SortedSet;
import java.util.TreeSet;

import org.ebonyford.configuration.Pool;
import org.ebonyford.fairness.Account;
import org.ebonyford.fairness.ServiceLedger;
import org.ebonyford.identity.OrganisationId;
import org.ebonyford.identity.VmId;

/**
 * What this router knows of one pool.
 */
final class PoolState {

	/**
	 * The share of the latest request in the average cost.
	 */
	private static final double SHARE = 1.0 / 64;

	/**
	 * The requests whose times are relied on.
	 */
	private static final int ENOUGH = 64;

	/**
	 * The share of the longest time that is forgotten at every request.
	 */
	private static final double FORGETTING = 1.0 / 1024;

	/**
	 * The VM of this router.
	 */
	private final VmId self;

	/**
	 * The service that organisations got.
	 */
	private final ServiceLedger ledger;

	/**
	 * The requests that wait at this router.
	 */
	private final EntryQueue queue = new EntryQueue();

	/**
	 * The demand that this router knows of as an owner.
	 */
	private final DemandTable demand = new DemandTable();

	/**
	 * The demand that this router told other owners.
	 */
	private final DemandSender sender;

	/**
	 * The configured upstreams of the pool.
	 */
	private List<UpstreamState> upstreams = new ArrayList<>();

	/**
	 * The other owners of slots that can be reached.
	 */
	private List<VmId> owners = List.of();

	/**
	 * The pool's entry in the configuration.
	 */
	private Pool pool;

	/**
	 * The requests that ended.
	 */
	private long ended;

	/**
	 * The longest time in milliseconds that a request lasted lately.
	 */
	private double longest;

	/**
	 * The average cost of a request.
	 */
	private double meanCost = 1;

	PoolState(VmId self, Pool pool, ServiceLedger ledger, DispatchSettings settings) {
		this.self = self;
		this.pool = pool;
		this.ledger = ledger;
		this.sender = new DemandSender(pool.id(), this.queue, settings);
	}

	Pool pool() {
		return this.pool;
	}

	ServiceLedger ledger() {
		return this.ledger;
	}

	EntryQueue queue() {
		return this.queue;
	}

	DemandTable demand() {
		return this.demand;
	}

	DemandSender sender() {
		return this.sender;
	}

	List<UpstreamState> upstreams() {
		return this.upstreams;
	}

	void configure(Pool definition) {
		this.pool = definition;
		this.upstreams = new ArrayList<>();
	}

	/**
	 * Sets the other owners of slots that can be reached.
	 * @param near those of slots in the own data centre
	 * @param far those of slots in other data centres only
	 */
	void owners(List<VmId> near, List<VmId> far) {
		this.sender.owners(near, far);
		this.owners = new ArrayList<>(near);
		this.owners.addAll(far);
	}

	/**
	 * Returns the other owners of slots that can be reached.
	 * @return the VMs of the routers
	 */
	List<VmId> owners() {
		return this.owners;
	}

	/**
	 * Returns whether this router is the one that takes over totals of ended processes.
	 * @return whether it is the first in the order of names that owns slots of the pool,
	 * those that can't be reached among them
	 */
	boolean first() {
		return this.upstreams.stream()
			.flatMap((upstream) -> upstream.distinctOwners().stream())
			.min(Comparator.naturalOrder())
			.filter(this.self::equals)
			.isPresent();
	}

	/**
	 * Returns whether this router owns slots of the pool.
	 * @return whether it owns at least one
	 */
	boolean owned() {
		for (UpstreamState upstream : this.upstreams) {
			if (upstream.slots().owned() > 0) {
				return true;
			}
		}
		return false;
	}

	boolean open() {
		for (UpstreamState upstream : this.upstreams) {
			if (upstream.open()) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Takes in that the requests of an organisation that wait at this router changed.
	 * @param now the clock reading in milliseconds
	 * @param organisation the organisation
	 */
	void queueChanged(long now, OrganisationId organisation) {
		int count = this.queue.count(organisation);
		long hint = (count > 0) ? this.queue.first(organisation).request().costHint() : 1;
		this.demand.put(this.self, organisation, count, hint);
		this.sender.changed(now, organisation);
		demandChanged(now, organisation);
	}

	/**
	 * Takes in that the demand of an organisation that this router knows of changed.
	 * @param now the clock reading in milliseconds
	 * @param organisation the organisation
	 */
	void demandChanged(long now, OrganisationId organisation) {
		this.ledger.waiting(now, this.ledger.account(organisation), this.demand.waits(organisation));
	}

	/**
	 * Corrects the charge for a request that ended.
	 * @param account the account of the organisation that was charged
	 * @param charged the cost that was charged
	 * @param cost the true cost
	 */
	void correct(Account account, long charged, long cost) {
		if (cost > charged) {
			this.ledger.charge(account, cost - charged);
		}
		else if (cost < charged) {
			this.ledger.refund(account, charged - cost);
		}
	}

	/**
	 * Takes in the true cost of a request that completed.
	 * @param account the organisation's account
	 * @param hint the cost that came with the request
	 * @param cost the true cost
	 */
	void learn(Account account, long hint, long cost) {
		account.estimate().learn(hint, cost);
		this.meanCost += SHARE * (cost - this.meanCost);
	}

	/**
	 * Takes in how long a request lasted.
	 * @param millis the milliseconds from its sending to its end
	 */
	void lasted(long millis) {
		this.ended++;
		this.longest *= 1 - FORGETTING;
		lasting(millis);
	}

	/**
	 * Takes in that a request lasts at least a time.
	 * @param millis the milliseconds from its sending until now
	 */
	void lasting(long millis) {
		this.longest = Math.max(this.longest, millis);
	}

	/**
	 * Returns how long a request may run on after its routers are lost.
	 * @param times the bounds in time
	 * @return twice the longest time that a request lasted lately within the bounds, or
	 * the upper bound if too few are known
	 */
	long orphanMillis(DispatchSettings.Times times) {
		if (this.ended < ENOUGH) {
			return times.orphan();
		}
		return Math.min(times.orphan(), Math.max(times.abandoned(), (long) (2 * this.longest)));
	}

	/**
	 * Begins a new period of the estimate of what other routers charge.
	 */
	void roll() {
		double all = 0;
		double own = 0;
		for (UpstreamState upstream : this.upstreams) {
			all += upstream.owners().length;
			own += upstream.slots().owned();
		}
		this.ledger.roll((own > 0) ? all / own - 1 : 0);
	}

	/**
	 * Adapts the turns in which owners serve organisations to the present owners and the
	 * average cost.
	 */
	void takeTurns() {
		SortedSet<VmId> all = new TreeSet<>();
		this.upstreams.forEach((upstream) -> all.addAll(upstream.distinctOwners()));
		if (all.contains(this.self)) {
			this.ledger.turns(all.headSet(this.self).size(), all.size(), this.meanCost);
		}
	}

	/**
	 * Adapts the debt that organisations may carry on to the average cost.
	 * @param rounds the number of times that the debt fills all slots
	 */
	void boundDebt(int rounds) {
		long slots = 0;
		for (UpstreamState upstream : this.upstreams) {
			slots += upstream.owners().length;
		}
		this.ledger.debtCap(Math.max(1, (long) (rounds * slots * this.meanCost)));
	}

}
