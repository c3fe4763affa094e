package org.ebonyford.claim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

import org.ebonyford.claim.ClaimRecord.Kind;
import org.ebonyford.effect.Effect;
import org.ebonyford.event.Event.AppendEnded.Result;

/**
 * Gathers statements into appends, of which at most one is in flight.
 */
final class ClaimWriter {

	/**
	 * The number of the first append. It keeps the appends of claims apart from those of
	 * other parts of the process.
	 */
	private static final long FIRST_APPEND = 1L << 40;

	/**
	 * The settings.
	 */
	private final ClaimSettings settings;

	/**
	 * Statements that end claims.
	 */
	private final Deque<ClaimRecord> ends = new ArrayDeque<>();

	/**
	 * Claims.
	 */
	private final Deque<ClaimRecord> claims = new ArrayDeque<>();

	/**
	 * Statements that are only restated.
	 */
	private final Deque<ClaimRecord> restatements = new ArrayDeque<>();

	/**
	 * The append in flight.
	 */
	private Optional<Effect.AppendClaims> flight = Optional.empty();

	/**
	 * The clock reading in milliseconds before which no append starts.
	 */
	private long notBefore = Long.MIN_VALUE;

	/**
	 * The number of the next append.
	 */
	private long nextAppend = FIRST_APPEND;

	/**
	 * The statements that were handed to appends.
	 */
	private long written;

	/**
	 * Creates a writer.
	 * @param settings the settings
	 */
	ClaimWriter(ClaimSettings settings) {
		this.settings = settings;
	}

	/**
	 * Takes a claim or a statement that ends one.
	 * @param record the statement
	 */
	void add(ClaimRecord record) {
		((record.kind() == Kind.CLAIM) ? this.claims : this.ends).add(record);
	}

	/**
	 * Takes a statement that the log holds already and is about to remove.
	 * @param record the statement
	 */
	void restate(ClaimRecord record) {
		this.restatements.add(record);
	}

	/**
	 * Takes back a claim that was not handed to an append.
	 * @param claim the claim
	 */
	void withdraw(ClaimRecord claim) {
		this.claims.remove(claim);
	}

	/**
	 * Starts an append if there is something to append and none is in flight.
	 * @param now the clock reading in milliseconds
	 * @return the append, or empty if none is to start
	 */
	Optional<Effect.AppendClaims> start(long now) {
		if (this.flight.isPresent() || now < this.notBefore) {
			return Optional.empty();
		}
		List<ClaimRecord> batch = batch();
		if (batch.isEmpty()) {
			return Optional.empty();
		}
		this.written += batch.size();
		this.notBefore = now + this.settings.batchMillis();
		this.flight = Optional.of(new Effect.AppendClaims(this.nextAppend++, batch));
		return this.flight;
	}

	private List<ClaimRecord> batch() {
		List<ClaimRecord> batch = new ArrayList<>();
		int characters = 0;
		for (Deque<ClaimRecord> queue : List.of(this.ends, this.claims, this.restatements)) {
			while (!queue.isEmpty() && batch.size() < this.settings.batchRecords()
					&& characters < this.settings.batchCharacters()) {
				ClaimRecord record = queue.remove();
				characters += record.answer().map((answer) -> answer.body().length()).orElse(0);
				batch.add(record);
			}
		}
		return batch;
	}

	/**
	 * Notes that an append ended. Statements that end claims are appended once more
	 * unless they are in the log; claims are not.
	 * @param now the clock reading in milliseconds
	 * @param append the number of the append
	 * @param result how it ended
	 * @return the claims that are certainly not in the log
	 */
	List<ClaimRecord> ended(long now, long append, Result result) {
		Optional<Effect.AppendClaims> ended = this.flight.filter((started) -> started.append() == append);
		if (ended.isEmpty()) {
			return List.of();
		}
		this.flight = Optional.empty();
		if (result == Result.APPENDED) {
			return List.of();
		}
		this.notBefore = now + this.settings.retryMillis();
		List<ClaimRecord> records = ended.get().records();
		records.stream().filter((record) -> record.kind() != Kind.CLAIM).forEach(this.ends::add);
		return (result == Result.FAILED) ? records.stream().filter((record) -> record.kind() == Kind.CLAIM).toList()
				: List.of();
	}

	/**
	 * Returns the number of appends that were started.
	 * @return the number
	 */
	long appends() {
		return this.nextAppend - FIRST_APPEND;
	}

	/**
	 * Returns the number of statements that were handed to appends.
	 * @return the number
	 */
	long written() {
		return this.written;
	}

	/**
	 * Returns the number of statements that wait to be appended.
	 * @return the number
	 */
	int backlog() {
		return this.ends.size() + this.claims.size() + this.restatements.size();
	}

}
