package org.ebonyford.claim;

/**
 * The settings of claims.
 *
 * @param windowMillis the milliseconds for which a key is remembered after its claim
 * @param graceMillis the milliseconds by which the wall clocks of VMs differ and an
 * append takes effect late, together at most; a key is remembered for so much longer
 * @param retentionMillis the milliseconds for which the log service keeps a record
 * @param restateJitterMillis the milliseconds over which routers spread the restating of
 * statements that the log is about to remove
 * @param settleMillis the milliseconds for which a router that starts with a shortened
 * log reads on before it counts its knowledge as complete
 * @param batchMillis the milliseconds between two appends at least
 * @param batchRecords the statements in one append at most
 * @param batchCharacters the characters of kept answers in one append, beyond which no
 * more statements are added
 * @param patienceMillis the milliseconds for which a claim may wait for the log before
 * its request is refused
 * @param retryMillis the milliseconds between a failed append and the next one
 * @param handOverMillis the milliseconds within which a statement that another router was
 * asked to append must be read in the log, before this router appends it itself
 * @param queryMillis the milliseconds between two questions to the holder of a claim
 * @param joinMillis the milliseconds for which a repeat waits for the running request at
 * most
 * @param retryAfterMillis the milliseconds after which callers are told that a retry can
 * help
 * @param maxKeys the keys that a router remembers before it takes no further ones
 * @param maxKeysPerOrganisation the keys of one organisation that a router remembers
 * before it takes no further ones of it
 * @param maxWaiting the repeats that may wait at a router at most
 * @param maxAnswerCharacters the characters of all kept answers, beyond which the oldest
 * are forgotten
 */
public record ClaimSettings(long windowMillis, long graceMillis, long retentionMillis, long restateJitterMillis,
		long settleMillis, long batchMillis, int batchRecords, int batchCharacters, long patienceMillis,
		long retryMillis, long handOverMillis, long queryMillis, long joinMillis, long retryAfterMillis, int maxKeys,
		int maxKeysPerOrganisation, int maxWaiting, long maxAnswerCharacters) {

	/**
	 * The settings of an operator who sets none.
	 */
	public static final ClaimSettings DEFAULT = new ClaimSettings(86_400_000L, 60_000L, 3_600_000L, 60_000L, 5_000L,
			50L, 500, 65_536, 1_000L, 250L, 250L, 500L, 30_000L, 1_000L, 100_000, 50_000, 10_000, 8_388_608L);

	/**
	 * Creates settings.
	 * @throws IllegalArgumentException if a bound is not positive or the log does not
	 * keep a record for long enough to restate it
	 */
	public ClaimSettings {
		requirePositive("window", windowMillis);
		requirePositive("retention", retentionMillis);
		requirePositive("batch interval", batchMillis);
		requirePositive("batch records", batchRecords);
		requirePositive("batch characters", batchCharacters);
		requirePositive("patience", patienceMillis);
		requirePositive("retry interval", retryMillis);
		requirePositive("hand-over time", handOverMillis);
		requirePositive("query interval", queryMillis);
		requirePositive("join time", joinMillis);
		requirePositive("keys", maxKeys);
		requirePositive("keys of an organisation", maxKeysPerOrganisation);
		requirePositive("kept answers", maxAnswerCharacters);
		if (Math.min(graceMillis, Math.min(settleMillis, Math.min(retryAfterMillis, maxWaiting))) < 0) {
			throw new IllegalArgumentException("The settings of claims must not be negative");
		}
		if (restateJitterMillis < 1 || restateJitterMillis >= retentionMillis / 2) {
			throw new IllegalArgumentException("The log must keep records for long enough to restate them");
		}
	}

	/**
	 * Returns how old the last statement about a key may grow before it is restated.
	 * @return the milliseconds, which leave half of the log's retention for an outage
	 */
	public long restateMillis() {
		return this.retentionMillis / 2 - this.restateJitterMillis;
	}

	private static void requirePositive(String name, long value) {
		if (value < 1) {
			throw new IllegalArgumentException("The setting of claims for " + name + " must be positive");
		}
	}

}
