package org.ebonyford.dispatch;

import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import org.ebonyford.configuration.Pool;
import org.ebonyford.configuration.Upstream;
import org.ebonyford.identity.VmId;
import org.ebonyford.slot.SlotTable;
import org.ebonyford.warmup.WarmUpState;

/**
 * What this router knows of one upstream.
 */
final class UpstreamState {

	/**
	 * What its reports tell.
	 */
	private final WarmUpState warmth;

	/**
	 * The slots that this router owns.
	 */
	private final SlotTable slots;

	/**
	 * The upstream's entry in the configuration.
	 */
	private Upstream upstream;

	/**
	 * The upstream's pool in the configuration.
	 */
	private Pool pool;

	/**
	 * The owners of all slots, {@code null} where there is no candidate.
	 */
	private VmId[] owners = new VmId[0];

	/**
	 * The routers that may own slots.
	 */
	private List<VmId> candidates = List.of();

	/**
	 * The routers that own at least one slot.
	 */
	private List<VmId> distinctOwners = List.of();

	/**
	 * Whether the upstream may get new work as far as operators and the platform tell.
	 */
	private boolean open;

	/**
	 * The requests of this router that run on the upstream.
	 */
	private int running;

	/**
	 * The failed exchanges since the last whole answer.
	 */
	private int failures;

	/**
	 * The clock reading in milliseconds until which the upstream gets no work, since
	 * exchanges failed.
	 */
	private long backoffUntil = Long.MIN_VALUE;

	UpstreamState(WarmUpState warmth, SlotTable slots) {
		this.warmth = warmth;
		this.slots = slots;
	}

	WarmUpState warmth() {
		return this.warmth;
	}

	SlotTable slots() {
		return this.slots;
	}

	Upstream upstream() {
		return this.upstream;
	}

	VmId[] owners() {
		return this.owners;
	}

	Optional<VmId> owner(int slot) {
		return (slot < this.owners.length) ? Optional.ofNullable(this.owners[slot]) : Optional.empty();
	}

	void configure(Upstream definition, Pool itsPool, boolean isOpen) {
		this.upstream = definition;
		this.pool = itsPool;
		this.open = isOpen;
	}

	void owners(VmId[] value) {
		this.owners = value;
		this.distinctOwners = Arrays.stream(value).filter(Objects::nonNull).distinct().toList();
	}

	/**
	 * Sets the routers that may own slots.
	 * @param value the VMs of the routers
	 * @param slots the number of slots
	 * @return whether the owners may change
	 */
	boolean candidates(List<VmId> value, int slots) {
		boolean changed = slots != this.owners.length || !value.equals(this.candidates);
		this.candidates = value;
		return changed;
	}

	/**
	 * Returns the routers that own at least one slot.
	 * @return the VMs of the routers
	 */
	List<VmId> distinctOwners() {
		return this.distinctOwners;
	}

	void close() {
		this.open = false;
	}

	boolean open() {
		return this.open && !this.warmth.leaving();
	}

	int limit(long now) {
		return this.warmth.limit(now, this.pool);
	}

	/**
	 * Returns a slot that may be granted now.
	 * @param now the clock reading in milliseconds
	 * @return the index of the slot, or -1 if none may be granted
	 */
	int freeSlot(long now) {
		if (!open() || now < this.backoffUntil) {
			return -1;
		}
		return this.slots.freeSlot(limit(now));
	}

	/**
	 * Returns how many requests are known to run on the upstream for each that it bears.
	 * @param now the clock reading in milliseconds
	 * @return the share of the limit that is taken
	 */
	double load(long now) {
		return (double) (this.warmth.running() + this.slots.occupied()) / limit(now);
	}

	int running() {
		return this.running;
	}

	void started() {
		this.running++;
	}

	void ended() {
		this.running--;
	}

	/**
	 * Takes in that an exchange completed.
	 */
	void completed() {
		this.failures = 0;
	}

	/**
	 * Takes in that an exchange failed, so that the upstream gets no work for a while.
	 * @param now the clock reading in milliseconds
	 * @param retries the bounds on retries
	 */
	void failed(long now, DispatchSettings.Retries retries) {
		long backoff = Math.min(retries.maxBackoffMillis(),
				retries.firstBackoffMillis() << Math.min(this.failures, 16));
		this.backoffUntil = now + backoff;
		this.failures++;
	}

}
