package org.ebonyford.claim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

import org.ebonyford.claim.ClaimRecord.Kind;
import org.ebonyford.effect.Effect;
import org.ebonyford.event.Event.AppendEnded.Result;

/**
 * Gathers statements into appends, of which at most one is in flight. Statements of other
 * routers are appended once, if that can be done before their own routers do it.
 */
final class ClaimWriter {

	/**
	 * The number of the first append. It keeps the appends of claims apart from those of
	 * other parts of the process.
	 */
	private static final long FIRST_APPEND = 1L << 40;

	/**
	 * The milliseconds for which statements that are only restated are gathered.
	 */
	private static final long RESTATE_BATCH_MILLIS = 1_000;

	/**
	 * The statements of other routers that wait at most, in appends.
	 */
	private static final int MAX_RELAYED_APPENDS = 4;

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
	 * Statements of other routers.
	 */
	private final Deque<Relayed> relayed = new ArrayDeque<>();

	/**
	 * Statements that are only restated.
	 */
	private final Deque<ClaimRecord> restatements = new ArrayDeque<>();

	/**
	 * The append in flight.
	 */
	private Optional<Effect.AppendClaims> flight = Optional.empty();

	/**
	 * The statements of other routers in the append in flight.
	 */
	private Set<ClaimRecord> relayedInFlight = Set.of();

	/**
	 * The clock reading in milliseconds from which on statements are appended that are
	 * only restated.
	 */
	private long restateAt = Long.MIN_VALUE;

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
	 * Takes statements of another router, unless too many wait already.
	 * @param now the clock reading in milliseconds
	 * @param statements the statements
	 * @return whether they were taken
	 */
	boolean relay(long now, List<ClaimRecord> statements) {
		if (this.relayed.size() >= MAX_RELAYED_APPENDS * this.settings.batchRecords()) {
			return false;
		}
		statements.forEach((statement) -> this.relayed.add(new Relayed(statement, now)));
		return true;
	}

	/**
	 * Forgets the statements of other routers, since this process stood still and they
	 * appended them themselves.
	 */
	void forgetRelayed() {
		this.relayed.clear();
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
		this.relayed.removeIf((statement) -> statement.at() + this.settings.handOverMillis() <= now);
		if (!due(now)) {
			return Optional.empty();
		}
		List<ClaimRecord> batch = batch(now);
		this.written += batch.size();
		this.notBefore = now + this.settings.batchMillis();
		this.flight = Optional.of(new Effect.AppendClaims(this.nextAppend++, batch));
		return this.flight;
	}

	private boolean due(long now) {
		boolean restating = !this.restatements.isEmpty()
				&& (now >= this.restateAt || this.restatements.size() >= this.settings.batchRecords());
		return restating || !this.ends.isEmpty() || !this.claims.isEmpty() || !this.relayed.isEmpty();
	}

	private List<ClaimRecord> batch(long now) {
		Batch batch = new Batch();
		batch.fill(this.ends, (record) -> record);
		batch.fill(this.claims, (record) -> record);
		int own = batch.records.size();
		batch.fill(this.relayed, Relayed::statement);
		this.relayedInFlight = Set.copyOf(batch.records.subList(own, batch.records.size()));
		batch.fill(this.restatements, (record) -> record);
		this.restateAt = now + RESTATE_BATCH_MILLIS;
		return batch.records;
	}

	/**
	 * Notes that an append ended. This process's statements that end claims are appended
	 * once more unless they are in the log; claims are not, nor statements of other
	 * routers.
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
		Set<ClaimRecord> others = this.relayedInFlight;
		this.relayedInFlight = Set.of();
		if (result == Result.APPENDED) {
			return List.of();
		}
		this.notBefore = now + this.settings.retryMillis();
		List<ClaimRecord> records = ended.get()
			.records()
			.stream()
			.filter((record) -> !others.contains(record))
			.toList();
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
	 * Returns the number of statements that wait to be appended, and of other routers'
	 * statements that are being appended. Statements that are only restated do not count,
	 * since another router restates what this one does not.
	 * @return the number
	 */
	int backlog() {
		return this.ends.size() + this.claims.size() + this.relayed.size() + this.relayedInFlight.size();
	}

	/**
	 * A statement of another router.
	 *
	 * @param statement the statement
	 * @param at the clock reading in milliseconds at which it came
	 */
	private record Relayed(ClaimRecord statement, long at) {

	}

	/**
	 * The statements of one append.
	 */
	private final class Batch {

		/**
		 * The statements.
		 */
		private final List<ClaimRecord> records = new ArrayList<>();

		/**
		 * The characters of the kept answers among them.
		 */
		private int characters;

		private <T> void fill(Deque<T> queue, Function<T, ClaimRecord> statement) {
			ClaimSettings bounds = ClaimWriter.this.settings;
			while (!queue.isEmpty() && this.records.size() < bounds.batchRecords()
					&& this.characters < bounds.batchCharacters()) {
				ClaimRecord record = statement.apply(queue.remove());
				this.characters += record.answer().map((answer) -> answer.body().length()).orElse(0);
				this.records.add(record);
			}
		}

	}

}
