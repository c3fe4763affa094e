package org.ebonyford.slot;

import java.util.Arrays;
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
			this.slots = Arrays.copyOf(this.slots, index + 1);
		}
		this.slots[index] = new Slot();
		this.slots[index].await(availableAt, revision);
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
			if (slot != null) {
				slot.followed(revision, availableAt);
			}
		}
	}

	/**
	 * Lets a slot go.
	 * @param index the index of the slot
	 * @return the request that occupies it, or empty if none is known
	 */
	public Optional<Occupant> letGo(int index) {
		Optional<Occupant> occupant = this.slots[index].occupant();
		occupant.ifPresent((request) -> this.occupied--);
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
		this.slots[index].occupy(occupant);
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
		clear(index, grant).ifPresent((slot) -> free(index));
	}

	/**
	 * Holds the slot of a request that may run on although its exchange ended.
	 * @param index the index of the slot
	 * @param grant the request's grant
	 * @param now the clock reading in milliseconds
	 * @param until the clock reading in milliseconds at which it certainly runs no more
	 */
	public void hold(int index, GrantId grant, long now, long until) {
		clear(index, grant).ifPresent((slot) -> slot.hold(now, until));
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
		if (!slot.occupied()) {
			occupy(index, occupant);
		}
		else if (slot.occupiedBy(occupant.grant())) {
			slot.occupant().ifPresent((request) -> request.seen(occupant.entry(), now));
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
			if (slot != null && slot.occupiedBy(entry)) {
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
			if (slot != null) {
				slot.occupant().ifPresent((request) -> request.seen(request.entry(), now));
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
				slot.await(availableAt, Long.MAX_VALUE);
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
			if (slot != null && slot.occupiedBy(grant)) {
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
	 * Returns how many own slots are held or awaited.
	 * @return the slots
	 */
	public int blocked() {
		int blocked = 0;
		for (Slot slot : this.slots) {
			if (slot != null && slot.blocked()) {
				blocked++;
			}
		}
		return blocked;
	}

	private void tick(int index, Slot slot, long now, long silenceMillis, long orphanMillis) {
		slot.arrive(now);
		if (slot.silent(now, silenceMillis)) {
			silence(slot, now);
		}
		if (slot.overdue(now, orphanMillis)) {
			free(index);
		}
	}

	private Optional<Slot> clear(int index, GrantId grant) {
		this.strays.remove(grant);
		if (!owns(index) || !this.slots[index].occupiedBy(grant)) {
			return Optional.empty();
		}
		this.slots[index].leave();
		this.occupied--;
		return Optional.of(this.slots[index]);
	}

	private void silence(Slot slot, long now) {
		long since = Math.max(now, slot.occupant().map(Occupant::expiresAt).orElse(now));
		slot.leave();
		this.occupied--;
		slot.hold(since, Long.MAX_VALUE);
	}

	private void free(int index) {
		if (this.slots[index].free()) {
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
			if (slot != null && slot.ran(from, until)) {
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
			if (slot == null || !slot.held()) {
				continue;
			}
			if (kept >= unexplained && slot.heldBefore(sampledAt - SETTLE_MILLIS)) {
				free(index);
			}
			else {
				kept++;
			}
		}
	}

}
