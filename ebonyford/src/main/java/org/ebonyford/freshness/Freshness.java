package org.ebonyford.freshness;

import org.ebonyford.time.Clock;

/**
 * Tracks the age of data that a router reads, counted from the moment at which the read
 * was sent. A suspended VM's monotonic clock stands still, and a wall clock may be set;
 * whenever the two disagree about the time that has passed, the age of all earlier reads
 * is unknown until the next read.
 */
public final class Freshness {

	/**
	 * The age of data that is not known to be recent.
	 */
	public static final long UNKNOWN_AGE = Long.MAX_VALUE;

	/**
	 * The difference in milliseconds between the two clocks' measurements of a time span
	 * above which a suspension or a set clock is assumed: several times the slew that a
	 * time service applies.
	 */
	private static final long MAX_CLOCK_DRIFT_MILLIS = 150;

	/**
	 * The monotonic clock, which stands still while the VM is suspended.
	 */
	private final Clock monotonic;

	/**
	 * The wall clock, which may be set.
	 */
	private final Clock wall;

	/**
	 * The wall clock minus the monotonic clock at the last check, in milliseconds.
	 */
	private long offsetMillis;

	/**
	 * The number of clock divergences so far.
	 */
	private int divergences;

	/**
	 * The time on the monotonic clock, in milliseconds, as of which the data is known.
	 */
	private long confirmedAtMillis;

	/**
	 * Whether a read was answered since the start and since the last divergence.
	 */
	private boolean known;

	/**
	 * Creates a tracker for which no read was answered yet.
	 * @param monotonic the clock that only goes forward and may stand still
	 * @param wall the clock that may be set
	 */
	public Freshness(Clock monotonic, Clock wall) {
		this.monotonic = monotonic;
		this.wall = wall;
		this.offsetMillis = wall.millis() - monotonic.millis();
	}

	/**
	 * Compares the clocks, and discards what was read before if they diverge.
	 */
	private void checkDivergence() {
		long currentOffsetMillis = this.wall.millis() - this.monotonic.millis();
		boolean diverged = Math.abs(currentOffsetMillis - this.offsetMillis) > MAX_CLOCK_DRIFT_MILLIS;
		if (diverged) {
			this.known = false;
			this.divergences++;
		}
		this.offsetMillis = diverged ? currentOffsetMillis : this.offsetMillis;
	}

	/**
	 * Returns how often the clocks have diverged. Whoever acts on that compares it with
	 * an earlier result, since any call may be the first to notice a divergence.
	 * @return the number of divergences so far
	 */
	public int divergences() {
		checkDivergence();
		return this.divergences;
	}

	/**
	 * Captures the state before a read is sent.
	 * @return the start of the read, to be passed to {@link #confirmRead} when it is
	 * answered
	 */
	public ReadStart startRead() {
		checkDivergence();
		return new ReadStart(this.monotonic.millis(), this.divergences);
	}

	/**
	 * Records that a read was answered. A read that was sent before a divergence is
	 * ignored.
	 * @param start the start of the read
	 * @param ageMillis the age of the answer when it was given, in milliseconds
	 */
	public void confirmRead(ReadStart start, long ageMillis) {
		checkDivergence();
		if (start.divergences() != this.divergences) {
			return;
		}
		long asOfMillis = start.sentAtMillis() - ageMillis;
		this.confirmedAtMillis = this.known ? Math.max(this.confirmedAtMillis, asOfMillis) : asOfMillis;
		this.known = true;
	}

	/**
	 * Returns the age of the data.
	 * @return the age in milliseconds, {@link #UNKNOWN_AGE} if it is unknown
	 */
	public long ageMillis() {
		checkDivergence();
		return this.known ? this.monotonic.millis() - this.confirmedAtMillis : UNKNOWN_AGE;
	}

	/**
	 * The state before a read is sent.
	 *
	 * @param sentAtMillis the time on the monotonic clock in milliseconds
	 * @param divergences the number of clock divergences so far
	 */
	public record ReadStart(long sentAtMillis, int divergences) {
	}

}
