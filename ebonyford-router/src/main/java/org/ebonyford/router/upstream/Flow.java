package org.ebonyford.router.upstream;

/**
 * Keeps what a connection may deliver equal to what its router can keep: more is asked
 * for as soon as bytes went to the caller or are kept in a place with a bound of its own.
 */
final class Flow {

	/**
	 * The transfer that delivers.
	 */
	private Transfer transfer;

	/**
	 * The bytes that were delivered.
	 */
	private long consumed;

	/**
	 * The bytes that went to the caller.
	 */
	private long drained;

	/**
	 * The bytes that are kept in a place with a bound of its own.
	 */
	private long held;

	/**
	 * The bytes that were asked for beyond the first window.
	 */
	private long granted;

	/**
	 * Lets another transfer deliver, whose window is fresh.
	 * @param next the transfer
	 */
	synchronized void begin(Transfer next) {
		this.transfer = next;
		this.held = 0;
		this.granted = this.consumed;
	}

	/**
	 * Takes a delivery.
	 * @param bytes the bytes that came
	 * @param nowHeld the bytes that are now kept in a place with a bound of its own
	 */
	void delivered(int bytes, int nowHeld) {
		synchronized (this) {
			this.consumed += bytes;
			this.held = nowHeld;
		}
		grant();
	}

	/**
	 * Takes the news that bytes went to the caller.
	 * @param bytes the number of bytes
	 */
	void drained(int bytes) {
		synchronized (this) {
			this.drained += bytes;
		}
		grant();
	}

	private void grant() {
		Transfer target;
		long more;
		synchronized (this) {
			target = this.transfer;
			more = this.drained + this.held - this.granted;
			this.granted += Math.max(more, 0);
		}
		if (more > 0) {
			target.grant((int) more);
		}
	}

}
