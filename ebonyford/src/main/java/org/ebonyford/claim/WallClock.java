package org.ebonyford.claim;

import java.util.OptionalLong;

/**
 * The wall-clock time of clock readings, and that of the claims that were read.
 */
final class WallClock {

	/**
	 * The milliseconds to add to a clock reading for the wall-clock time, or empty before
	 * the first one is known.
	 */
	private OptionalLong offset = OptionalLong.empty();

	/**
	 * The wall-clock time in milliseconds of the latest claim that was read.
	 */
	private long latestClaim;

	/**
	 * Takes the wall-clock time of a clock reading.
	 * @param now the clock reading in milliseconds
	 * @param epochMillis the wall-clock time in milliseconds since the epoch
	 */
	void observe(long now, long epochMillis) {
		this.offset = OptionalLong.of(epochMillis - now);
	}

	/**
	 * Takes the wall-clock time of a clock reading unless one was taken before.
	 * @param now the clock reading in milliseconds
	 * @param epochMillis the wall-clock time in milliseconds since the epoch
	 */
	void observeFirst(long now, long epochMillis) {
		if (this.offset.isEmpty()) {
			observe(now, epochMillis);
		}
	}

	/**
	 * Takes note of a claim that was read.
	 * @param now the clock reading in milliseconds
	 * @param claim the claim, whose time counts up to the present
	 */
	void claimed(long now, ClaimRecord claim) {
		long time = this.offset.isPresent() ? Math.min(claim.createdAt(), at(now)) : claim.createdAt();
		this.latestClaim = Math.max(this.latestClaim, time);
	}

	/**
	 * Returns the wall-clock time of a clock reading.
	 * @param now the clock reading in milliseconds
	 * @return the wall-clock time in milliseconds since the epoch
	 */
	long at(long now) {
		return now + this.offset.orElse(0);
	}

	/**
	 * Returns the wall-clock time of the latest claim that was read.
	 * @return the time in milliseconds since the epoch, 0 before the first claim
	 */
	long latestClaim() {
		return this.latestClaim;
	}

}
