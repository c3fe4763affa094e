package org.ebonyford.gateway.rollout;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.ebonyford.gateway.store.StoreRecord;
import org.ebonyford.gateway.wire.OperatorRecord.ForRollout;
import org.ebonyford.rollout.RolloutOrder;

/**
 * The roll-outs that the operator has ordered, as far as this gateway has read them. An
 * order is identified by the place of its record in the store, so that an order that is
 * given twice differs from one that is read twice. After the store has come back from an
 * older copy, places differ, and a record with the same content is the same order.
 */
public final class RolloutOrders {

	/**
	 * The number of bits of a revision that hold the offset; the era of the store is in
	 * the bits above.
	 */
	private static final int OFFSET_BITS = 40;

	/**
	 * The number of former orders that are remembered for each service. The copy from
	 * which a store comes back is at most a few orders old.
	 */
	private static final int MAX_FORMER = 8;

	/**
	 * The orders in force, by service.
	 */
	private final Map<String, Known> orders = new HashMap<>();

	/**
	 * What was ordered before and withdrawn or replaced, by service.
	 */
	private final Map<String, Deque<ForRollout.Target>> former = new HashMap<>();

	/**
	 * The era of the store that the offsets belong to.
	 */
	private long era;

	/**
	 * Whether the store has come back from an older copy and its writers may still be
	 * writing again what it lost.
	 */
	private boolean restoring;

	/**
	 * Records that the newest state of the store is applied next.
	 * @param number the era of the store
	 */
	public void beginSnapshot(long number) {
		this.era = number;
		this.restoring = false;
	}

	/**
	 * Records that the state of an older copy of the store is applied next.
	 * @param number the era of the store
	 */
	public void beginRestored(long number) {
		this.era = number;
		this.restoring = true;
	}

	/**
	 * Returns the orders in force.
	 * @return the orders by service
	 */
	public Map<String, RolloutOrder> all() {
		Map<String, RolloutOrder> all = new HashMap<>();
		this.orders.forEach((service, known) -> all.put(service, known.order()));
		return all;
	}

	/**
	 * Returns the order in force for a service.
	 * @param service the service
	 * @return the order, empty if there is none
	 */
	public Optional<RolloutOrder> find(String service) {
		return Optional.ofNullable(this.orders.get(service)).map(Known::order);
	}

	/**
	 * Applies a record of the operator.
	 * @param record the record
	 * @param read what it says
	 * @return whether the order for the service has changed
	 */
	public boolean apply(StoreRecord record, ForRollout read) {
		if (read.target().isEmpty()) {
			return withdraw(read.service());
		}
		Known known = this.orders.get(read.service());
		if (known != null && known.target().equals(read.target().get()) && !repeated(known, record)) {
			this.orders.put(read.service(), known.movedTo(record.key(), this.era, record.offset()));
			return false;
		}
		if (this.restoring && former(read.service()).contains(read.target().get())) {
			return false;
		}
		withdraw(read.service());
		ForRollout.Target target = read.target().get();
		RolloutOrder order = new RolloutOrder(read.service(), target.version(), target.durationMillis(),
				revision(this.era, record.offset()));
		this.orders.put(read.service(), new Known(order, target, record.key(), this.era, record.offset()));
		return true;
	}

	private boolean repeated(Known known, StoreRecord record) {
		return !this.restoring && known.era() == this.era && record.offset() > known.offset();
	}

	private static long revision(long era, long offset) {
		return (era << OFFSET_BITS) + Math.max(offset, 0);
	}

	private boolean withdraw(String service) {
		Known known = this.orders.remove(service);
		if (known == null) {
			return false;
		}
		Deque<ForRollout.Target> targets = former(service);
		targets.remove(known.target());
		targets.add(known.target());
		if (targets.size() > MAX_FORMER) {
			targets.remove();
		}
		return true;
	}

	private Deque<ForRollout.Target> former(String service) {
		return this.former.computeIfAbsent(service, (key) -> new ArrayDeque<>());
	}

	/**
	 * Withdraws the orders whose records are missing from a snapshot. The order before an
	 * unreadable record stays in force.
	 * @param keys the keys of the snapshot
	 * @return whether an order was withdrawn
	 */
	public boolean retain(Set<String> keys) {
		return this.orders.values()
			.stream()
			.filter((known) -> !keys.contains(known.key()))
			.map((known) -> known.order().service())
			.toList()
			.stream()
			.filter(this::withdraw)
			.count() > 0;
	}

	/**
	 * Takes over the revision that gateways gave an order before the store came back from
	 * an older copy, if this gateway has read it only since.
	 * @param saved the order as it was saved
	 * @return whether it is the order in force, and the revision has changed
	 */
	public boolean adopt(RolloutOrder saved) {
		Known known = this.orders.get(saved.service());
		if (known == null || known.order().equals(saved) || !known.target().equals(target(saved))
				|| saved.revision() >> OFFSET_BITS >= known.order().revision() >> OFFSET_BITS) {
			return false;
		}
		this.orders.put(saved.service(), new Known(saved, known.target(), known.key(), known.era(), known.offset()));
		return true;
	}

	private static ForRollout.Target target(RolloutOrder order) {
		return new ForRollout.Target(order.target(), order.durationMillis());
	}

	/**
	 * An order in force.
	 *
	 * @param order the order
	 * @param target what it asks for
	 * @param key the key of its record
	 * @param era the era of the store in which the record was last read
	 * @param offset the offset of the record in that era
	 */
	private record Known(RolloutOrder order, ForRollout.Target target, String key, long era, long offset) {

		Known movedTo(String newKey, long newEra, long newOffset) {
			return new Known(this.order, this.target, newKey, newEra, newOffset);
		}

	}

}
