package org.ebonyford.fairness;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;

import org.ebonyford.identity.Incarnation;
import org.ebonyford.identity.OrganisationId;
import org.ebonyford.identity.VmId;
import org.ebonyford.message.PeerMessage.Service;

/**
 * The accounts of all organisations in one pool. Every process counts what it charged and
 * refunded in totals that only grow; totals of others merge by maximum, so that messages
 * may come twice, late or in any order.
 */
public final class ServiceLedger {

	/**
	 * Orders accounts by their place in the order of service.
	 */
	private static final Comparator<Account> BY_PLACE = ServiceLedger::compare;

	/**
	 * The relative change of the average cost that leaves the turns as they are.
	 */
	private static final double TOLERANCE = 0.1;

	/**
	 * The requests of average cost by which a turn differs from the next one.
	 */
	private static final int TURN_REQUESTS = 2;

	/**
	 * The process in whose name this one counts, with a larger number than its own if its
	 * totals were taken over while it lived.
	 */
	private Incarnation self;

	/**
	 * The milliseconds without any backlog after which an organisation counts as idle.
	 */
	private final long idleMillis;

	/**
	 * Creates the estimate of an organisation's costs.
	 */
	private final Supplier<CostEstimate> estimates;

	/**
	 * The accounts by organisation.
	 */
	private final Map<OrganisationId, Account> accounts = new HashMap<>();

	/**
	 * The accounts with requests that wait as far as this router knows itself.
	 */
	private final TreeSet<Account> waiting = new TreeSet<>(BY_PLACE);

	/**
	 * The accounts with requests that wait only as far as other routers know.
	 */
	private final TreeSet<Account> elsewhere = new TreeSet<>(BY_PLACE);

	/**
	 * The accounts that changed here since the last gossip.
	 */
	private final Set<Account> changed = new LinkedHashSet<>();

	/**
	 * The accounts that this process charged in the current period or the one before.
	 */
	private Set<Account> recent = new LinkedHashSet<>();

	/**
	 * The other processes whose totals are kept.
	 */
	private final Set<Incarnation> origins = new HashSet<>();

	/**
	 * The largest number of each VM's processes whose totals were taken over by another
	 * process.
	 */
	private final Map<VmId, Long> closed = new TreeMap<>();

	/**
	 * Returns the weight of an organisation.
	 */
	private ToIntFunction<OrganisationId> weights = (organisation) -> 1;

	/**
	 * The largest virtual service that any account had.
	 */
	private long highest;

	/**
	 * The largest difference of virtual service that two waiting organisations may carry
	 * on.
	 */
	private long debtCap = Long.MAX_VALUE;

	/**
	 * The place of this process among the owners, which take turns.
	 */
	private int index;

	/**
	 * The number of owners that take turns.
	 */
	private int owners = 1;

	/**
	 * The average cost of a request in which turns are counted.
	 */
	private double turnCost;

	/**
	 * Whether the totals of others are known, so that lifts can be computed.
	 */
	private boolean informed;

	/**
	 * Creates a ledger without any service.
	 * @param self this process
	 * @param idleMillis the milliseconds without any backlog after which an organisation
	 * counts as idle
	 * @param estimates creates the estimate of an organisation's costs
	 */
	public ServiceLedger(Incarnation self, long idleMillis, Supplier<CostEstimate> estimates) {
		this.self = self;
		this.idleMillis = idleMillis;
		this.estimates = estimates;
	}

	/**
	 * Puts new weights in force.
	 * @param current returns the weight of an organisation
	 */
	public void weights(ToIntFunction<OrganisationId> current) {
		this.weights = current;
		for (Account account : this.accounts.values()) {
			update(account, () -> account.weight(current.applyAsInt(account.organisation())));
		}
	}

	/**
	 * Bounds the debt that an organisation carries on.
	 * @param cost the cost at weight 1 by which two waiting organisations may differ
	 */
	public void debtCap(long cost) {
		this.debtCap = cost * Account.SCALE;
	}

	/**
	 * Sets in which turn this process serves each organisation. The owners have other
	 * turns for each organisation, so that those that see the same old totals serve
	 * different ones.
	 * @param position the place of this process among the owners, from 0
	 * @param count the number of owners
	 * @param cost the average cost of a request
	 */
	public void turns(int position, int count, double cost) {
		boolean same = position == this.index && count == this.owners;
		if (same && Math.abs(cost - this.turnCost) <= TOLERANCE * this.turnCost) {
			return;
		}
		this.index = position;
		this.owners = count;
		this.turnCost = cost;
		for (Account account : this.accounts.values()) {
			update(account, () -> account.turn(turn(account.organisation())));
		}
	}

	private double turn(OrganisationId organisation) {
		int turn = Math.floorMod(this.index + organisation.value().hashCode(), this.owners);
		return turn * TURN_REQUESTS * this.turnCost;
	}

	/**
	 * States that the totals of others are known.
	 */
	public void informed() {
		this.informed = true;
	}

	/**
	 * Returns the account of an organisation.
	 * @param organisation the organisation
	 * @return its account, a new one where there is none
	 */
	public Account account(OrganisationId organisation) {
		Account account = this.accounts.get(organisation);
		if (account == null) {
			account = new Account(organisation, this.weights.applyAsInt(organisation), this.estimates.get());
			account.turn(turn(organisation));
			this.accounts.put(organisation, account);
		}
		return account;
	}

	/**
	 * Returns all accounts.
	 * @return the accounts in no order
	 */
	public Collection<Account> accounts() {
		return this.accounts.values();
	}

	/**
	 * Charges an organisation.
	 * @param account the organisation's account
	 * @param cost the cost
	 */
	public void charge(Account account, long cost) {
		update(account, () -> account.charge(this.self, cost));
		this.changed.add(account);
		this.recent.add(account);
	}

	/**
	 * Gives back what an organisation was charged too much.
	 * @param account the organisation's account
	 * @param cost the cost
	 */
	public void refund(Account account, long cost) {
		update(account, () -> account.refund(this.self, cost));
		this.changed.add(account);
		this.recent.add(account);
	}

	/**
	 * Begins a new period, which should last half as long as totals are gossiped apart.
	 * What other processes charge between two gossips is estimated from what this process
	 * charges.
	 * @param others the cost that all other processes charge for each unit that this one
	 * charges
	 */
	public void roll(double others) {
		Set<Account> rolling = this.recent;
		this.recent = new LinkedHashSet<>();
		for (Account account : rolling) {
			update(account, () -> {
				if (account.roll(others)) {
					this.recent.add(account);
				}
			});
		}
	}

	/**
	 * States whether this router knows of waiting requests of an organisation.
	 * @param now the clock reading in milliseconds
	 * @param account the organisation's account
	 * @param value whether requests wait
	 */
	public void waiting(long now, Account account, boolean value) {
		if (account.waiting() == value) {
			return;
		}
		this.changed.add(account);
		backlog(now, account, () -> account.waiting(value));
	}

	/**
	 * Returns the organisation that is to be served next.
	 * @return the account with the least virtual service among those with requests that
	 * wait as far as this router knows itself, or empty if none waits
	 */
	public Optional<Account> next() {
		if (this.waiting.isEmpty()) {
			return Optional.empty();
		}
		Account least = this.waiting.first();
		long floor = this.waiting.last().virtualService() - this.debtCap;
		while (this.informed && least.virtualService() < floor) {
			liftTo(least, floor);
			least = this.waiting.first();
		}
		return Optional.of(least);
	}

	/**
	 * Takes in the totals of a process. A message without any rows tells that another
	 * process took them over.
	 * @param now the clock reading in milliseconds
	 * @param from the VM that sent the totals
	 * @param service the totals
	 */
	public void received(long now, VmId from, Service service) {
		if (closed(service.origin())) {
			return;
		}
		if (service.rows().isEmpty()) {
			close(service.origin());
			return;
		}
		if (!service.origin().equals(this.self)) {
			this.origins.add(service.origin());
		}
		boolean first = from.equals(service.origin().vm());
		for (Service.Row row : service.rows()) {
			Account account = account(row.organisation());
			update(account, () -> account.merge(service.origin(), row));
			if (first) {
				backlog(now, account, () -> account.backloggedAt(from, row.backlogged()));
			}
		}
	}

	/**
	 * Returns the other processes whose totals are kept.
	 * @return the processes, ended ones too that were not taken over
	 */
	public Set<Incarnation> origins() {
		return new HashSet<>(this.origins);
	}

	/**
	 * Counts the totals of ended processes as those of this one from now on, so that the
	 * rows of those can be dropped everywhere. Only one process may do so; the others are
	 * told by its rows and by a message without rows in the name of each ended process.
	 * @param ended the ended processes
	 */
	public void takeOver(Collection<Incarnation> ended) {
		for (Account account : this.accounts.values()) {
			if (account.takeOver(this.self, ended)) {
				this.changed.add(account);
			}
		}
		ended.forEach(this::close);
	}

	/**
	 * Returns the processes whose totals were taken over by others.
	 * @return the last one of each VM, which stands for those before it too
	 */
	public List<Incarnation> closed() {
		List<Incarnation> all = new ArrayList<>(this.closed.size());
		this.closed.forEach((vm, number) -> all.add(new Incarnation(vm, number)));
		return all;
	}

	/**
	 * Returns all rows in the name of this process.
	 * @return the rows
	 */
	public List<Service.Row> ownRows() {
		return rows().getOrDefault(this.self, List.of());
	}

	/**
	 * Returns the process in whose name this one counts.
	 * @return the process
	 */
	public Incarnation self() {
		return this.self;
	}

	private boolean closed(Incarnation origin) {
		return this.closed.getOrDefault(origin.vm(), Long.MIN_VALUE) >= origin.number();
	}

	private void close(Incarnation last) {
		this.closed.merge(last.vm(), last.number(), Math::max);
		this.origins.removeIf(this::closed);
		for (Account account : this.accounts.values()) {
			update(account, () -> account.drop(last));
		}
		if (closed(this.self)) {
			this.self = new Incarnation(this.self.vm(), this.closed.get(this.self.vm()) + 1);
		}
	}

	/**
	 * Forgets what a router that can't be reached knew of waiting requests.
	 * @param now the clock reading in milliseconds
	 * @param vm the VM of the router
	 */
	public void lost(long now, VmId vm) {
		for (Account account : this.accounts.values()) {
			backlog(now, account, () -> account.backloggedAt(vm, false));
		}
	}

	/**
	 * Returns this process's rows that changed since the last call.
	 * @return the rows
	 */
	public List<Service.Row> drainChanges() {
		List<Service.Row> rows = new ArrayList<>(this.changed.size());
		for (Account account : this.changed) {
			rows.add(row(account, account.totalsOf(this.self)));
		}
		this.changed.clear();
		return rows;
	}

	/**
	 * Returns all that is known.
	 * @return the rows by the process that they come from
	 */
	public Map<Incarnation, List<Service.Row>> rows() {
		Map<Incarnation, List<Service.Row>> rows = new HashMap<>();
		for (Account account : this.accounts.values()) {
			account.totals()
				.forEach((origin, totals) -> rows.computeIfAbsent(origin, (absent) -> new ArrayList<>())
					.add(row(account, totals)));
		}
		return rows;
	}

	private Service.Row row(Account account, Account.Totals totals) {
		return new Service.Row(account.organisation(), totals.charged(), totals.refunded(), account.lift(),
				account.waiting());
	}

	private void update(Account account, Runnable change) {
		remove(account);
		change.run();
		add(account);
		this.highest = Math.max(this.highest, account.virtualService());
	}

	private void backlog(long now, Account account, Runnable change) {
		boolean before = account.backlogged();
		remove(account);
		change.run();
		boolean after = account.backlogged();
		if (after && !before) {
			arrive(now, account);
		}
		if (before && !after) {
			account.idleSince(now);
		}
		add(account);
	}

	private void remove(Account account) {
		if (account.waiting()) {
			this.waiting.remove(account);
		}
		else if (account.backlogged()) {
			this.elsewhere.remove(account);
		}
	}

	private void add(Account account) {
		if (account.waiting()) {
			this.waiting.add(account);
		}
		else if (account.backlogged()) {
			this.elsewhere.add(account);
		}
	}

	private void arrive(long now, Account account) {
		if (this.informed && account.idleFor(now, this.idleMillis)) {
			long least = least();
			if (account.virtualService() < least) {
				account.raiseLift(account.lift() + least - account.virtualService());
				this.changed.add(account);
			}
		}
	}

	private long least() {
		if (this.waiting.isEmpty() && this.elsewhere.isEmpty()) {
			return this.highest;
		}
		long here = this.waiting.isEmpty() ? Long.MAX_VALUE : this.waiting.first().virtualService();
		long there = this.elsewhere.isEmpty() ? Long.MAX_VALUE : this.elsewhere.first().virtualService();
		return Math.min(here, there);
	}

	private static int compare(Account one, Account other) {
		int places = Double.compare(one.place(), other.place());
		return (places != 0) ? places : one.organisation().compareTo(other.organisation());
	}

	private void liftTo(Account account, long virtualService) {
		long lift = account.lift() + virtualService - account.virtualService();
		update(account, () -> account.raiseLift(lift));
		this.changed.add(account);
	}

}
