package org.ebonyford.slot;

import java.util.Optional;

import org.ebonyford.identity.GrantId;
import org.ebonyford.identity.VmId;

/**
 * One slot that this router owns.
 */
final class Slot {

	/**
	 * What is known of the slot.
	 */
	private State state = State.AWAITED;

	/**
	 * The request in the slot, or {@code null} if none is known.
	 */
	private Occupant occupant;

	/**
	 * The clock reading in milliseconds from which no other router can grant the slot.
	 */
	private long awaitedUntil;

	/**
	 * The revision of the VM list that moved the slot, or the largest number if none did.
	 */
	private long awaitedRevision;

	/**
	 * The clock reading in milliseconds since which the slot is held.
	 */
	private long heldSince;

	/**
	 * The clock reading in milliseconds at which the slot is freed at the latest.
	 */
	private long heldUntil;

	/**
	 * Leaves the slot unused until no other router can grant it.
	 * @param until the clock reading in milliseconds from which none can
	 * @param revision the revision of the VM list that moved the slot, or the largest
	 * number if none did
	 */
	void await(long until, long revision) {
		this.state = State.AWAITED;
		this.awaitedUntil = until;
		this.awaitedRevision = revision;
	}

	/**
	 * Takes in that all other routers follow a revision of the VM list.
	 * @param revision the revision
	 * @param until the clock reading in milliseconds from which none can grant the slot
	 * if that revision or an earlier one moved it
	 */
	void followed(long revision, long until) {
		if (this.state == State.AWAITED && this.awaitedRevision <= revision) {
			this.awaitedUntil = Math.min(this.awaitedUntil, until);
		}
	}

	/**
	 * Ends the waiting for the former owner if its time is over.
	 * @param now the clock reading in milliseconds
	 */
	void arrive(long now) {
		if (this.state != State.AWAITED || now < this.awaitedUntil) {
			return;
		}
		if (this.occupant != null) {
			this.state = State.OCCUPIED;
		}
		else {
			hold(this.awaitedUntil, Long.MAX_VALUE);
		}
	}

	/**
	 * Puts a request in the slot.
	 * @param request the request
	 */
	void occupy(Occupant request) {
		this.occupant = request;
		if (this.state != State.AWAITED) {
			this.state = State.OCCUPIED;
		}
	}

	/**
	 * Takes the request out of the slot.
	 */
	void leave() {
		this.occupant = null;
	}

	/**
	 * Leaves the slot unused since a request that nobody confirms may run in it.
	 * @param since the clock reading in milliseconds since which nobody confirms it
	 * @param until the clock reading in milliseconds at which it certainly runs no more
	 */
	void hold(long since, long until) {
		if (this.state != State.AWAITED || since >= this.awaitedUntil) {
			this.state = State.HELD;
			this.heldSince = since;
			this.heldUntil = until;
		}
	}

	/**
	 * Frees the slot unless its former owner may still grant it.
	 * @return whether the slot is free
	 */
	boolean free() {
		if (this.state != State.AWAITED) {
			this.state = State.FREE;
		}
		return this.state == State.FREE;
	}

	Optional<Occupant> occupant() {
		return Optional.ofNullable(this.occupant);
	}

	boolean occupied() {
		return this.occupant != null;
	}

	boolean occupiedBy(GrantId grant) {
		return this.occupant != null && this.occupant.grant().equals(grant);
	}

	boolean occupiedBy(VmId entry) {
		return this.occupant != null && this.occupant.entry().equals(entry);
	}

	/**
	 * Returns whether the request in the slot counts as lost.
	 * @param now the clock reading in milliseconds
	 * @param silenceMillis the milliseconds without a confirmation after which it does
	 * @return whether nobody confirms the request
	 */
	boolean silent(long now, long silenceMillis) {
		return this.state == State.OCCUPIED && this.occupant.silent(now, silenceMillis);
	}

	/**
	 * Returns whether a request certainly ran in the slot.
	 * @param from the clock reading in milliseconds since which it ran at the latest
	 * @param until the clock reading in milliseconds until which it ran at least
	 * @return whether its entry router confirmed it later
	 */
	boolean ran(long from, long until) {
		return this.occupant != null && this.occupant.ran(from, until);
	}

	boolean held() {
		return this.state == State.HELD;
	}

	boolean heldBefore(long at) {
		return this.state == State.HELD && this.heldSince < at;
	}

	/**
	 * Returns whether nothing can run in the held slot any more.
	 * @param now the clock reading in milliseconds
	 * @param orphanMillis the milliseconds after which lost requests certainly run no
	 * more
	 * @return whether the time is over
	 */
	boolean overdue(long now, long orphanMillis) {
		return this.state == State.HELD && (now >= this.heldUntil || now >= this.heldSince + orphanMillis);
	}

	/**
	 * Returns whether the slot can't be used although no request is known in it.
	 * @return whether it is held or awaited
	 */
	boolean blocked() {
		return this.state == State.HELD || this.state == State.AWAITED;
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

}
