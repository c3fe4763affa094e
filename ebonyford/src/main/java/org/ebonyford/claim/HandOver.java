package org.ebonyford.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

import org.ebonyford.identity.VmId;

/**
 * The statements that this process asked another router to append, until they are read in
 * the log or this process has to append them itself. A router that did not append in time
 * is doubted: it is passed over for a while, which grows with each failure.
 */
final class HandOver {

	/**
	 * The milliseconds for which a router is passed over after its first failure.
	 */
	private static final long MIN_DOUBT_MILLIS = 1_000;

	/**
	 * The milliseconds for which a router is passed over at most.
	 */
	private static final long MAX_DOUBT_MILLIS = 16_000;

	/**
	 * The VM of this process.
	 */
	private final VmId self;

	/**
	 * The milliseconds within which a statement must be read in the log.
	 */
	private final long limitMillis;

	/**
	 * The routers of the data centre, the one to be asked first at the front.
	 */
	private List<VmId> order = List.of();

	/**
	 * The doubts by router.
	 */
	private final Map<VmId, Doubt> doubts = new HashMap<>();

	/**
	 * The statements that were handed over, the oldest first.
	 */
	private final LinkedHashMap<ClaimRecord, Handed> outstanding = new LinkedHashMap<>();

	/**
	 * Creates a hand-over that asks nobody.
	 * @param self the VM of this process
	 * @param limitMillis the milliseconds within which a statement must be read in the
	 * log
	 */
	HandOver(VmId self, long limitMillis) {
		this.self = self;
		this.limitMillis = limitMillis;
	}

	/**
	 * Takes the routers of the data centre.
	 * @param routers the routers, the one to be asked first at the front
	 */
	void order(List<VmId> routers) {
		this.order = List.copyOf(routers);
		this.doubts.keySet().retainAll(this.order);
	}

	/**
	 * Returns the router that is to append this process's statements.
	 * @param now the clock reading in milliseconds
	 * @return the router, or empty if this process is to append them itself
	 */
	Optional<VmId> writer(long now) {
		return this.order.stream()
			.filter((vm) -> vm.equals(this.self) || !doubted(now, vm))
			.findFirst()
			.filter((vm) -> !vm.equals(this.self));
	}

	private boolean doubted(long now, VmId vm) {
		Doubt doubt = this.doubts.get(vm);
		return doubt != null && now < doubt.until();
	}

	/**
	 * Notes that statements were handed over.
	 * @param now the clock reading in milliseconds
	 * @param writer the router that was asked
	 * @param statements the statements
	 */
	void handed(long now, VmId writer, List<ClaimRecord> statements) {
		statements.forEach((statement) -> this.outstanding.put(statement, new Handed(writer, now)));
	}

	/**
	 * Notes that a statement was read in the log. If the router that was asked to append
	 * it is not passed over at this moment, its next failure counts as the first.
	 * @param now the clock reading in milliseconds
	 * @param statement the statement
	 */
	void read(long now, ClaimRecord statement) {
		Handed handed = this.outstanding.remove(statement);
		if (handed != null && !doubted(now, handed.writer())) {
			this.doubts.remove(handed.writer());
		}
	}

	/**
	 * Forgets a claim that is not wanted any longer. It may still show up in the log.
	 * @param claim the claim
	 */
	void withdraw(ClaimRecord claim) {
		this.outstanding.remove(claim);
	}

	/**
	 * Removes the statements that were not read in the log in time and doubts the routers
	 * that were asked.
	 * @param now the clock reading in milliseconds
	 * @return the statements
	 */
	List<ClaimRecord> overdue(long now) {
		return fail(now, (handed) -> handed.at() + this.limitMillis <= now);
	}

	/**
	 * Removes the statements that a router was asked to append and doubts it.
	 * @param now the clock reading in milliseconds
	 * @param writer the router, which is gone or out of reach
	 * @return the statements
	 */
	List<ClaimRecord> lost(long now, VmId writer) {
		doubt(now, writer);
		return take((statement, handed) -> handed.writer().equals(writer));
	}

	/**
	 * Removes the statements that a router does not append and doubts it.
	 * @param now the clock reading in milliseconds
	 * @param writer the router
	 * @param claimIds the names of the claims that the statements are about
	 * @return the statements
	 */
	List<ClaimRecord> declined(long now, VmId writer, List<String> claimIds) {
		doubt(now, writer);
		return take((statement, handed) -> handed.writer().equals(writer) && claimIds.contains(statement.claimId()));
	}

	/**
	 * Removes all statements, since this process itself stood still.
	 * @return the statements
	 */
	List<ClaimRecord> recall() {
		return take((statement, handed) -> true);
	}

	/**
	 * Notes that a process was heard of for the first time, which ends doubts of its VM.
	 * @param vm the VM
	 */
	void heard(VmId vm) {
		this.doubts.remove(vm);
	}

	/**
	 * Returns the number of statements that were handed over and not read.
	 * @return the number
	 */
	int size() {
		return this.outstanding.size();
	}

	private List<ClaimRecord> fail(long now, Predicate<Handed> condition) {
		this.outstanding.values()
			.stream()
			.filter(condition)
			.map(Handed::writer)
			.distinct()
			.toList()
			.forEach((writer) -> doubt(now, writer));
		return take((statement, handed) -> condition.test(handed));
	}

	private void doubt(long now, VmId writer) {
		if (!doubted(now, writer)) {
			Doubt former = this.doubts.getOrDefault(writer, new Doubt(now, MIN_DOUBT_MILLIS / 2));
			long millis = Math.min(2 * former.millis(), MAX_DOUBT_MILLIS);
			this.doubts.put(writer, new Doubt(now + millis, millis));
		}
	}

	private List<ClaimRecord> take(Condition condition) {
		List<ClaimRecord> taken = new ArrayList<>();
		Iterator<Map.Entry<ClaimRecord, Handed>> entries = this.outstanding.entrySet().iterator();
		while (entries.hasNext()) {
			Map.Entry<ClaimRecord, Handed> entry = entries.next();
			if (condition.test(entry.getKey(), entry.getValue())) {
				taken.add(entry.getKey());
				entries.remove();
			}
		}
		return taken;
	}

	/**
	 * Chooses statements that were handed over.
	 */
	@FunctionalInterface
	private interface Condition {

		/**
		 * Tests a statement.
		 * @param statement the statement
		 * @param handed to whom and when it was handed over
		 * @return {@code true} if it is chosen
		 */
		boolean test(ClaimRecord statement, Handed handed);

	}

	/**
	 * To whom and when a statement was handed over.
	 *
	 * @param writer the router that was asked to append it
	 * @param at the clock reading in milliseconds
	 */
	private record Handed(VmId writer, long at) {

	}

	/**
	 * How long a router is passed over.
	 *
	 * @param until the clock reading in milliseconds
	 * @param millis the milliseconds for which it is passed over this time
	 */
	private record Doubt(long until, long millis) {

	}

}
