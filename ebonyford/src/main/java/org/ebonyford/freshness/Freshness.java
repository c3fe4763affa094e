package org.ebonyford.freshness;

import org.ebonyford.time.Clock;

/**
 * Measures the age of what was read, from the moment at which the read was sent. A
 * suspended VM's monotonic clock stands still, and a wall clock may be set; whenever the
 * two disagree about the time that has passed, everything read before counts as old until
 * it is read again.
 */
public final class Freshness {

	/**
	 * The age of what is not known to be young.
	 */
	public static final long UNKNOWN_AGE = Long.MAX_VALUE;

	/**
	 * The greatest difference in milliseconds between the clocks' readings of a span that
	 * is not taken for a suspension: several times the slew that a time service applies.
	 */
	private static final long MAX_CLOCK_DRIFT_MILLIS = 150;

	/**
	 * The clock that may stand still.
	 */
	private final Clock monotonic;

	/**
	 * The clock that may be set.
	 */
	private final Clock wall;

	/**
	 * The difference between the clocks when they last agreed, in milliseconds.
	 */
	private long offsetMillis;

	/**
	 * The number of divergences that were seen.
	 */
	private int divergences;

	/**
	 * The sending of the latest read that was answered, on the monotonic clock.
	 */
	private long confirmedAtMillis;

	/**
	 * Whether a read was answered since the start and since the last divergence.
	 */
	private boolean known;

	/**
	 * Creates a measure without any knowledge.
	 * @param monotonic the clock that only goes forward and may stand still
	 * @param wall the clock that may be set
	 */
	public Freshness(Clock monotonic, Clock wall) {
		this.monotonic = monotonic;
		this.wall = wall;
		this.offsetMillis = wall.millis() - monotonic.millis();
	}

	/**
	 * Compares the clocks.
	 * @return whether they diverged since the last comparison, so that what was read
	 * before is old
	 */
	public boolean checkDivergence() {
		long currentOffsetMillis = this.wall.millis() - this.monotonic.millis();
		boolean diverged = Math.abs(currentOffsetMillis - this.offsetMillis) > MAX_CLOCK_DRIFT_MILLIS;
		if (diverged) {
			this.known = false;
			this.divergences++;
		}
		this.offsetMillis = diverged ? currentOffsetMillis : this.offsetMillis;
		return diverged;
	}

	/**
	 * Returns a mark for a read that is about to be sent.
	 * @return the mark, to be handed back when the read was answered
	 */
	public ReadStart startRead() {
		checkDivergence();
		return new ReadStart(this.monotonic.millis(), this.divergences);
	}

	/**
	 * Notes that a read was answered. A read that was sent before a divergence proves
	 * nothing.
	 * @param start the mark from before its sending
	 * @param ageMillis how old the answer was when it was given, in milliseconds
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
	 * Returns the age of what is known.
	 * @return the age in milliseconds, {@link #UNKNOWN_AGE} if nothing is known
	 */
	public long ageMillis() {
		checkDivergence();
		return this.known ? this.monotonic.millis() - this.confirmedAtMillis : UNKNOWN_AGE;
	}

	/**
	 * The moment before a read is sent.
	 *
	 * @param sentAtMillis the reading of the monotonic clock in milliseconds
	 * @param divergences the number of divergences until then
	 */
	public record ReadStart(long sentAtMillis, int divergences) {
	}

}
