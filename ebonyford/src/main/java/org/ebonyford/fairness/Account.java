package org.ebonyford.fairness;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;

import org.ebonyford.identity.Incarnation;
import org.ebonyford.identity.OrganisationId;
import org.ebonyford.identity.VmId;
import org.ebonyford.message.PeerMessage.Service;

/**
 * The service that one organisation got from one pool, as far as this router knows. Only
 * the {@link ServiceLedger} that it belongs to changes it.
 */
public final class Account {

	/**
	 * The units of virtual service in a unit of cost at weight 1.
	 */
	static final long SCALE = 1000;

	/**
	 * The organisation.
	 */
	private final OrganisationId organisation;

	/**
	 * The totals of every process that charged the organisation.
	 */
	private final Map<Incarnation, Totals> totals = new HashMap<>();

	/**
	 * The VMs of the other routers that know of waiting requests.
	 */
	private final Set<VmId> backloggedAt = new HashSet<>();

	/**
	 * Turns hints into costs.
	 */
	private final CostEstimate estimate;

	/**
	 * The weight of the organisation.
	 */
	private int weight;

	/**
	 * The service, which is all charges without all refunds.
	 */
	private long service;

	/**
	 * The virtual service by which the organisation was lifted.
	 */
	private long lift;

	/**
	 * The virtual service.
	 */
	private long virtualService;

	/**
	 * The cost that this process charged in the current period.
	 */
	private long recent;

	/**
	 * The cost that this process charged in the period before.
	 */
	private long earlier;

	/**
	 * The cost that all other processes charge for each unit that this one charges.
	 */
	private double others;

	/**
	 * The cost that the organisation must be behind before this process serves it in the
	 * turn of another one.
	 */
	private double turn;

	/**
	 * The virtual service with the estimate of what other processes charged unseen and
	 * with the turn.
	 */
	private double place;

	/**
	 * Whether this router knows of waiting requests.
	 */
	private boolean waiting;

	/**
	 * The clock reading in milliseconds since which no router knows of waiting requests.
	 */
	private long idleSince = Long.MIN_VALUE;

	/**
	 * Creates an account without any service.
	 * @param organisation the organisation
	 * @param weight the weight of the organisation
	 * @param estimate turns hints into costs
	 */
	Account(OrganisationId organisation, int weight, CostEstimate estimate) {
		this.organisation = organisation;
		this.weight = weight;
		this.estimate = estimate;
	}

	/**
	 * Returns whose account this is.
	 * @return the organisation
	 */
	public OrganisationId organisation() {
		return this.organisation;
	}

	/**
	 * Returns the estimate of the organisation's costs.
	 * @return what turns hints into costs
	 */
	public CostEstimate estimate() {
		return this.estimate;
	}

	/**
	 * Returns the service in units of cost.
	 * @return all charges without all refunds of all known processes
	 */
	public long service() {
		return this.service;
	}

	/**
	 * Returns the virtual service, by which organisations are compared.
	 * @return the service divided by the weight, with all lifts
	 */
	public long virtualService() {
		return this.virtualService;
	}

	/**
	 * Returns the place of the organisation in the order of service.
	 * @return the virtual service with the estimate of what other processes charged
	 * unseen and with the turn
	 */
	public double place() {
		return this.place;
	}

	/**
	 * Returns whether this router knows of waiting requests.
	 * @return whether requests are waiting
	 */
	public boolean waiting() {
		return this.waiting;
	}

	/**
	 * Returns whether any router knows of waiting requests.
	 * @return whether requests are waiting
	 */
	public boolean backlogged() {
		return this.waiting || !this.backloggedAt.isEmpty();
	}

	long lift() {
		return this.lift;
	}

	Map<Incarnation, Totals> totals() {
		return this.totals;
	}

	Totals totalsOf(Incarnation origin) {
		return this.totals.computeIfAbsent(origin, (absent) -> new Totals());
	}

	boolean idleFor(long now, long millis) {
		return millis != Long.MAX_VALUE && (this.idleSince == Long.MIN_VALUE || now - this.idleSince >= millis);
	}

	void idleSince(long now) {
		this.idleSince = now;
	}

	void waiting(boolean value) {
		this.waiting = value;
	}

	boolean backloggedAt(VmId vm, boolean value) {
		return value ? this.backloggedAt.add(vm) : this.backloggedAt.remove(vm);
	}

	void weight(int value) {
		this.weight = value;
		compute();
	}

	void turn(double value) {
		this.turn = value;
		compute();
	}

	void raiseLift(long value) {
		this.lift = Math.max(this.lift, value);
		compute();
	}

	void charge(Incarnation self, long cost) {
		totalsOf(self).charged += cost;
		this.service += cost;
		this.recent += cost;
		compute();
	}

	void refund(Incarnation self, long cost) {
		totalsOf(self).refunded += cost;
		this.service -= cost;
		this.recent -= cost;
		compute();
	}

	/**
	 * Begins a new period.
	 * @param others the cost that all other processes charge for each unit that this one
	 * charges
	 * @return whether the account is still to be rolled on
	 */
	boolean roll(double others) {
		this.earlier = this.recent;
		this.recent = 0;
		this.others = others;
		compute();
		return this.earlier != 0;
	}

	void merge(Incarnation origin, Service.Row row) {
		Totals known = totalsOf(origin);
		this.service -= known.service();
		known.charged = Math.max(known.charged, row.charged());
		known.refunded = Math.max(known.refunded, row.refunded());
		this.service += known.service();
		raiseLift(row.lift());
	}

	/**
	 * Adds the totals of ended processes to those of this one.
	 * @param self this process
	 * @param ended the ended processes
	 * @return whether there were any
	 */
	boolean takeOver(Incarnation self, Collection<Incarnation> ended) {
		boolean any = false;
		for (Incarnation origin : ended) {
			Totals former = this.totals.remove(origin);
			if (former != null) {
				Totals own = totalsOf(self);
				own.charged += former.charged;
				own.refunded += former.refunded;
				any = true;
			}
		}
		return any;
	}

	/**
	 * Drops the totals of a VM's processes, whose service counts elsewhere.
	 * @param last the last of the processes
	 */
	void drop(Incarnation last) {
		Iterator<Map.Entry<Incarnation, Totals>> entries = this.totals.entrySet().iterator();
		while (entries.hasNext()) {
			Map.Entry<Incarnation, Totals> entry = entries.next();
			if (entry.getKey().vm().equals(last.vm()) && entry.getKey().number() <= last.number()) {
				this.service -= entry.getValue().service();
				entries.remove();
			}
		}
		compute();
	}

	private void compute() {
		this.virtualService = this.service * SCALE / this.weight + this.lift;
		double unseen = this.others * (this.recent + this.earlier / 2.0);
		this.place = this.virtualService + (unseen + this.turn) * SCALE / this.weight;
	}

	/**
	 * What one process charged and refunded.
	 */
	static final class Totals {

		/**
		 * All that was charged, which only grows.
		 */
		private long charged;

		/**
		 * All that was refunded, which only grows.
		 */
		private long refunded;

		long charged() {
			return this.charged;
		}

		long refunded() {
			return this.refunded;
		}

		private long service() {
			return this.charged - this.refunded;
		}

	}

}
