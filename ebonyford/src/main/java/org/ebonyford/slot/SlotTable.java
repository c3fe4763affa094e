package org.ebonyford.slot;

import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;

import org.ebonyford.identity.GrantId;
import org.ebonyford.identity.VmId;

/**
 * The slots of one upstream that this router owns. A slot is free, occupied by a request
 * that its entry router confirms, awaited since its former owner may still grant it, or
 * held since a request that nobody confirms may still run in it.
 */
public final class SlotTable {

	/**
	 * The milliseconds that a permitted request may take to reach the upstream, and an
	 * ended one to reach this router.
	 */
	private static final long SETTLE_MILLIS = 50;

	/**
	 * The own slots by index, {@code null} where another router owns the slot.
	 */
	private Slot[] slots = new Slot[0];

	/**
	 * The own slots that are free.
	 */
	private final BitSet free = new BitSet();

	/**
	 * Requests beyond the one that occupies their slot.
	 */
	private final Map<GrantId, Occupant> strays = new HashMap<>();

	/**
	 * What ran in the slots of other owners.
	 */
	private final Witness witness = new Witness();

	/**
	 * The milliseconds within which every router confirms its running requests.
	 */
	private final long confirmationMillis;

	/**
	 * The number of own slots.
	 */
	private int owned;

	/**
	 * The number of requests that occupy own slots.
	 */
	private int occupied;

	/**
	 * The largest number of requests in own slots since the last report.
	 */
	private int peak;

	/**
	 * The largest number of requests in own slots between the last two reports.
	 */
	private int earlierPeak;

	/**
	 * The requests that ran at the last report beyond those in own slots.
	 */
	private int foreign;

	/**
	 * Creates a table without any own slot.
	 * @param confirmationMillis the milliseconds within which every router confirms its
	 * running requests
	 */
	public SlotTable(long confirmationMillis) {
		this.confirmationMillis = confirmationMillis;
	}

	/**
	 * Takes a slot over.
	 * @param index the index of the slot
	 * @param availableAt the clock reading in milliseconds from which no other router can
	 * grant the slot
	 * @param revision the revision of the VM list that moved the slot
	 */
	public void take(int index, long availableAt, long revision) {
		if (index >= this.slots.length) {
			this.slots = java.util.Arrays.copyOf(this.slots, index + 1);
		}
		Slot slot = new Slot();
		slot.awaitedUntil = availableAt;
		slot.awaitedRevision = revision;
		slot.state = State.AWAITED;
		this.slots[index] = slot;
		this.owned++;
	}

	/**
	 * Takes in that all other routers follow a revision of the VM list, so that none
	 * grants the slots that it or an earlier one moved.
	 * @param revision the revision
	 * @param availableAt the clock reading in milliseconds from which these slots may be
	 * granted at the latest
	 */
	public void followed(long revision, long availableAt) {
		for (Slot slot : this.slots) {
			if (slot != null && slot.state == State.AWAITED && slot.awaitedRevision <= revision) {
				slot.awaitedUntil = Math.min(slot.awaitedUntil, availableAt);
			}
		}
	}

	/**
	 * Lets a slot go.
	 * @param index the index of the slot
	 * @return the request that occupies it, or empty if none is known
	 */
	public Optional<Occupant> letGo(int index) {
		Slot slot = this.slots[index];
		Optional<Occupant> occupant = Optional.ofNullable(slot.occupant);
		if (slot.occupant != null) {
			this.occupied--;
		}
		this.slots[index] = null;
		this.owned--;
		this.free.clear(index);
		return occupant;
	}

	/**
	 * Returns whether this router owns a slot.
	 * @param index the index of the slot
	 * @return whether it is an own one
	 */
	public boolean owns(int index) {
		return index < this.slots.length && this.slots[index] != null;
	}

	/**
	 * Returns how many slots this router owns.
	 * @return the own slots
	 */
	public int owned() {
		return this.owned;
	}

	/**
	 * Returns a slot that may be granted.
	 * @param limit the requests that the upstream bears at a time
	 * @return the index of the slot, or -1 if none may be granted
	 */
	public int freeSlot(int limit) {
		if (occupied() >= limit - this.foreign) {
			return -1;
		}
		int index = this.free.nextSetBit(0);
		return (index < limit) ? index : -1;
	}

	/**
	 * Occupies a free slot.
	 * @param index the index of the slot
	 * @param occupant the request
	 */
	public void occupy(int index, Occupant occupant) {
		Slot slot = this.slots[index];
		slot.occupant = occupant;
		slot.state = State.OCCUPIED;
		this.free.clear(index);
		this.occupied++;
		this.peak = Math.max(this.peak, occupied());
	}

	/**
	 * Frees the slot of a request that no longer runs.
	 * @param index the index of the slot
	 * @param grant the request's grant
	 */
	public void vacate(int index, GrantId grant) {
		clear(index, grant).ifPresent((slot) -> free(index, slot));
	}

	/**
	 * Holds the slot of a request that may run on although its exchange ended.
	 * @param index the index of the slot
	 * @param grant the request's grant
	 * @param now the clock reading in milliseconds
	 * @param until the clock reading in milliseconds at which it certainly runs no more
	 */
	public void hold(int index, GrantId grant, long now, long until) {
		clear(index, grant).ifPresent((slot) -> hold(slot, now, until));
	}

	/**
	 * Takes in that an entry router runs a request in a slot.
	 * @param index the index of the slot
	 * @param occupant the request
	 * @param now the clock reading in milliseconds
	 */
	public void seen(int index, Occupant occupant, long now) {
		if (!owns(index)) {
			this.witness.seen(occupant.grant(), now);
			return;
		}
		Slot slot = this.slots[index];
		if (slot.occupant == null) {
			adopt(index, slot, occupant);
		}
		else if (slot.occupant.grant().equals(occupant.grant())) {
			slot.occupant.seen(occupant.entry(), now);
		}
		else {
			this.strays.put(occupant.grant(), occupant);
			this.peak = Math.max(this.peak, occupied());
		}
	}

	/**
	 * Holds the slots of the requests of an entry router that is lost.
	 * @param entry the VM of the entry router
	 * @param now the clock reading in milliseconds
	 */
	public void lost(VmId entry, long now) {
		for (Slot slot : this.slots) {
			if (slot != null && slot.occupant != null && slot.occupant.entry().equals(entry)) {
				silence(slot, now);
			}
		}
	}

	/**
	 * Counts all known requests as confirmed.
	 * @param now the clock reading in milliseconds
	 */
	public void confirm(long now) {
		for (Slot slot : this.slots) {
			if (slot != null && slot.occupant != null) {
				slot.occupant.seen(slot.occupant.entry(), now);
			}
		}
	}

	/**
	 * Leaves the own slots that are free unused until no other router can grant them.
	 * @param availableAt the clock reading in milliseconds from which none can
	 */
	public void await(long availableAt) {
		this.free.clear();
		for (Slot slot : this.slots) {
			if (slot != null) {
				slot.state = State.AWAITED;
				slot.awaitedUntil = availableAt;
				slot.awaitedRevision = Long.MAX_VALUE;
			}
		}
	}

	/**
	 * Takes in that time passed.
	 * @param now the clock reading in milliseconds
	 * @param silenceMillis the milliseconds without a confirmation after which a request
	 * counts as lost
	 * @param orphanMillis the milliseconds after which lost requests certainly run no
	 * more
	 */
	public void tick(long now, long silenceMillis, long orphanMillis) {
		this.strays.values().removeIf((stray) -> stray.silent(now, silenceMillis));
		for (int index = 0; index < this.slots.length; index++) {
			Slot slot = this.slots[index];
			if (slot != null) {
				tick(index, slot, now, silenceMillis, orphanMillis);
			}
		}
	}

	/**
	 * Takes in how many requests ran on the upstream.
	 * @param now the clock reading in milliseconds
	 * @param sampledAt the clock reading in milliseconds of the sample
	 * @param running the requests that ran
	 */
	public void reported(long now, long sampledAt, int running) {
		this.foreign = Math.max(0, running - Math.max(this.peak, this.earlierPeak));
		this.earlierPeak = this.peak;
		this.peak = occupied();
		release(sampledAt, running);
		this.witness.reported(new Witness.Sample(sampledAt, running));
		this.witness.explained(now - this.confirmationMillis - 2 * SETTLE_MILLIS).ifPresent(this::explain);
	}

	/**
	 * Returns which slot a request occupies.
	 * @param grant the request's grant
	 * @return the index of the slot, or empty if the request is in no own slot
	 */
	public OptionalInt find(GrantId grant) {
		for (int index = 0; index < this.slots.length; index++) {
			Slot slot = this.slots[index];
			if (slot != null && slot.occupant != null && slot.occupant.grant().equals(grant)) {
				return OptionalInt.of(index);
			}
		}
		return this.strays.containsKey(grant) ? OptionalInt.of(0) : OptionalInt.empty();
	}

	/**
	 * Returns how many requests are known in own slots.
	 * @return the requests
	 */
	public int occupied() {
		return this.occupied + this.strays.size();
	}

	/**
	 * Returns the requests that are known in own slots.
	 * @return the indices of the slots and the requests
	 */
	public Map<Integer, Occupant> occupants() {
		Map<Integer, Occupant> occupants = new HashMap<>();
		for (int index = 0; index < this.slots.length; index++) {
			if (this.slots[index] != null && this.slots[index].occupant != null) {
				occupants.put(index, this.slots[index].occupant);
			}
		}
		return occupants;
	}

	/**
	 * Returns how many own slots are held or awaited.
	 * @return the slots
	 */
	public int blocked() {
		int blocked = 0;
		for (Slot slot : this.slots) {
			if (slot != null && (slot.state == State.HELD || slot.state == State.AWAITED)) {
				blocked++;
			}
		}
		return blocked;
	}

	private void tick(int index, Slot slot, long now, long silenceMillis, long orphanMillis) {
		if (slot.state == State.AWAITED && now >= slot.awaitedUntil) {
			if (slot.occupant != null) {
				slot.state = State.OCCUPIED;
			}
			else {
				hold(slot, slot.awaitedUntil, Long.MAX_VALUE);
			}
		}
		if (slot.state == State.OCCUPIED && slot.occupant.silent(now, silenceMillis)) {
			silence(slot, now);
		}
		if (slot.state == State.HELD && (now >= slot.heldUntil || now >= slot.heldSince + orphanMillis)) {
			free(index, slot);
		}
	}

	private void adopt(int index, Slot slot, Occupant occupant) {
		slot.occupant = occupant;
		this.free.clear(index);
		this.occupied++;
		this.peak = Math.max(this.peak, occupied());
		if (slot.state != State.AWAITED) {
			slot.state = State.OCCUPIED;
		}
	}

	private Optional<Slot> clear(int index, GrantId grant) {
		this.strays.remove(grant);
		if (!owns(index) || this.slots[index].occupant == null) {
			return Optional.empty();
		}
		Slot slot = this.slots[index];
		if (!slot.occupant.grant().equals(grant)) {
			return Optional.empty();
		}
		slot.occupant = null;
		this.occupied--;
		return Optional.of(slot);
	}

	private void silence(Slot slot, long now) {
		long since = Math.max(now, slot.occupant.expiresAt());
		slot.occupant = null;
		this.occupied--;
		hold(slot, since, Long.MAX_VALUE);
	}

	private void hold(Slot slot, long since, long until) {
		if (slot.state != State.AWAITED || since >= slot.awaitedUntil) {
			slot.state = State.HELD;
			slot.heldSince = since;
			slot.heldUntil = until;
		}
	}

	private void free(int index, Slot slot) {
		if (slot.state != State.AWAITED) {
			slot.state = State.FREE;
			this.free.set(index);
		}
	}

	private void explain(Witness.Sample sample) {
		int others = this.witness.certain(sample.at(), sample.at() + SETTLE_MILLIS);
		int own = certain(sample.at() - SETTLE_MILLIS, sample.at() + SETTLE_MILLIS);
		release(sample.at(), sample.running() - own - others);
	}

	private int certain(long from, long until) {
		int certain = 0;
		for (Slot slot : this.slots) {
			if (slot != null && slot.occupant != null && slot.occupant.ran(from, until)) {
				certain++;
			}
		}
		return certain;
	}

	/**
	 * Frees held slots that nothing can run in. The ones with the lowest indices stay
	 * held, since the others may not be usable yet and so hold nothing back.
	 * @param sampledAt the clock reading in milliseconds of a sample
	 * @param unexplained the requests that ran and that no router confirms
	 */
	private void release(long sampledAt, int unexplained) {
		int kept = 0;
		for (int index = 0; index < this.slots.length; index++) {
			Slot slot = this.slots[index];
			if (slot == null || slot.state != State.HELD) {
				continue;
			}
			if (kept >= unexplained && sampledAt - SETTLE_MILLIS > slot.heldSince) {
				free(index, slot);
			}
			else {
				kept++;
			}
		}
	}

	/**
	 * What is known of a slot.
	 */
	private enum State {

		/** Nothing runs in the slot. */
		FREE,

		/** A request that its entry router confirms runs in the slot. */
		OCCUPIED,

		/** The slot's former owner may still grant it. */
		AWAITED,

		/** A request that nobody confirms may run in the slot. */
		HELD

	}

	/**
	 * One own slot.
	 */
	private static final class Slot {

		/**
		 * What is known of the slot.
		 */
		private State state;

		/**
		 * The request in the slot, or {@code null} if none is known.
		 */
		private Occupant occupant;

		/**
		 * The clock reading in milliseconds from which no other router can grant the
		 * slot.
		 */
		private long awaitedUntil;

		/**
		 * The revision of the VM list that moved the slot, or the largest number if none
		 * did.
		 */
		private long awaitedRevision;

		/**
		 * The clock reading in milliseconds since which the slot is held.
		 */
		private long heldSince;

		/**
		 * The clock reading in milliseconds at which the slot is let free at the latest.
		 */
		private long heldUntil;

	}

}
