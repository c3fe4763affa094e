package org.ebonyford.claim;

import java.util.Optional;

import org.ebonyford.claim.ClaimRecord.Kind;
import org.ebonyford.identity.Incarnation;

/**
 * Restates what the log is about to remove, and forgets keys whose window has passed.
 */
final class Restatement {

	/**
	 * The keys that one run restates or forgets at most.
	 */
	private static final int SWEEP_LIMIT = 1_000;

	/**
	 * The settings.
	 */
	private final ClaimSettings settings;

	/**
	 * The milliseconds by which this process restates later than the first one might.
	 */
	private final long jitter;

	/**
	 * What the log says.
	 */
	private final ClaimTable table;

	/**
	 * Takes the statements.
	 */
	private final ClaimWriter writer;

	/**
	 * Creates a restatement.
	 * @param settings the settings
	 * @param self this process
	 * @param table what the log says
	 * @param writer takes the statements
	 */
	Restatement(ClaimSettings settings, Incarnation self, ClaimTable table, ClaimWriter writer) {
		this.settings = settings;
		this.jitter = Math.floorMod(self.vm().value().hashCode(), settings.restateJitterMillis());
		this.table = table;
		this.writer = writer;
	}

	/**
	 * Restates or forgets what is due.
	 * @param epochMillis the wall-clock time in milliseconds since the epoch
	 */
	void run(long epochMillis) {
		long due = epochMillis - this.settings.restateMillis() - this.jitter;
		for (int swept = 0; swept < SWEEP_LIMIT; swept++) {
			Optional<ClaimTable.Entry> oldest = this.table.oldest().filter((entry) -> entry.statedAt() <= due);
			if (oldest.isEmpty()) {
				return;
			}
			sweep(epochMillis, oldest.get());
		}
	}

	private void sweep(long epochMillis, ClaimTable.Entry entry) {
		ClaimRecord statement = entry.statement();
		ClaimKey key = ClaimKey.of(statement);
		if (entry.expiredAt(epochMillis, this.settings.windowMillis() + this.settings.graceMillis())) {
			this.table.remove(key);
			return;
		}
		this.writer.restate(entry.ended() ? statement : statement.ended(Kind.UNKNOWN, Optional.empty()));
		this.table.restated(key, epochMillis);
	}

}
