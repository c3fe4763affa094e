package org.ebonyford.claim;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.ebonyford.claim.ClaimRecord.Kind;
import org.ebonyford.identity.OrganisationId;

/**
 * What the claims stream says about every key: a fold over its statements, which gives
 * the same result to everyone who reads the same stream.
 *
 * <p>
 * The first claim on a free key holds it. Its holder may release it, which frees the key.
 * A statement that it ran or may have run is final; that it ran outweighs that it may
 * have run. A key with a final statement is free again for a claim that was made later
 * than the window after its own claim.
 *
 * <p>
 * A reader that misses the beginning of the stream may take a claim for the holder that
 * lost to an earlier one. So a final statement outweighs every claim on the key made up
 * to the end of the window after it, whoever reads it, and of two final statements the
 * one about the later claim stands.
 */
public final class ClaimTable {

	/**
	 * Orders final statements about different claims, the one that stands last.
	 */
	private static final Comparator<ClaimRecord> LATER = Comparator.comparingLong(ClaimRecord::createdAt)
		.thenComparing(ClaimRecord::claimId);

	/**
	 * The shared instances that are kept at most.
	 */
	private static final int MAX_SHARED = 10_000;

	/**
	 * The milliseconds for which a key is remembered after its claim.
	 */
	private final long windowMillis;

	/**
	 * The characters of all kept answers, beyond which the oldest are forgotten.
	 */
	private final long maxAnswerCharacters;

	/**
	 * The keys that are not free, the one with the oldest last statement first.
	 */
	private final LinkedHashMap<ClaimKey, Entry> entries = new LinkedHashMap<>();

	/**
	 * The characters of each kept answer, the oldest first.
	 */
	private final LinkedHashMap<ClaimKey, Integer> answers = new LinkedHashMap<>();

	/**
	 * One instance of each organisation and holder, so that the many statements about
	 * them share it.
	 */
	private final Map<Object, Object> shared = new HashMap<>();

	/**
	 * The number of keys of each organisation that are not free.
	 */
	private final Map<OrganisationId, Integer> counts = new HashMap<>();

	/**
	 * The characters of all kept answers.
	 */
	private long answerCharacters;

	/**
	 * Creates a table without statements.
	 * @param windowMillis the milliseconds for which a key is remembered after its claim
	 * @param maxAnswerCharacters the characters of all kept answers, beyond which the
	 * oldest are forgotten
	 */
	public ClaimTable(long windowMillis, long maxAnswerCharacters) {
		this.windowMillis = windowMillis;
		this.maxAnswerCharacters = maxAnswerCharacters;
	}

	/**
	 * Applies the next statement of the stream.
	 * @param statement the statement
	 * @param statedAt the wall-clock time in milliseconds at which it was appended, or an
	 * earlier one if that is not known
	 */
	public void apply(ClaimRecord statement, long statedAt) {
		ClaimRecord record = compact(statement);
		ClaimKey key = ClaimKey.of(record);
		Entry entry = this.entries.get(key);
		switch (record.kind()) {
			case CLAIM -> claim(key, entry, new Entry(record, statedAt));
			case RELEASE -> release(key, entry, record);
			case RAN, UNKNOWN -> end(key, entry, new Entry(record, statedAt));
		}
	}

	private ClaimRecord compact(ClaimRecord record) {
		if (this.shared.size() > MAX_SHARED) {
			this.shared.clear();
		}
		return new ClaimRecord(record.kind(), record.claimId(), shared(record.organisation()), record.key(),
				record.fingerprint(), shared(record.holder()), record.createdAt(), record.answer());
	}

	@SuppressWarnings("unchecked")
	private <T> T shared(T value) {
		return (T) this.shared.computeIfAbsent(value, (absent) -> absent);
	}

	private void claim(ClaimKey key, Entry entry, Entry claim) {
		boolean free = entry == null || entry.expiredAt(claim.statement().createdAt(), this.windowMillis);
		boolean confirmed = entry != null && !entry.ended() && entry.sameClaim(claim.statement());
		if (free || confirmed) {
			put(key, claim);
		}
	}

	private void release(ClaimKey key, Entry entry, ClaimRecord record) {
		if (entry != null && !entry.ended() && entry.sameClaim(record)) {
			remove(key);
		}
	}

	private void end(ClaimKey key, Entry entry, Entry end) {
		if (entry == null || entry.givesWayTo(end.statement(), this.windowMillis)) {
			put(key, end);
		}
		else if (entry.sameClaim(end.statement())) {
			put(key, entry.statedAt(end.statedAt()));
		}
	}

	private void put(ClaimKey key, Entry entry) {
		remove(key);
		this.entries.put(key, entry);
		this.counts.merge(key.organisation(), 1, Integer::sum);
		entry.statement().answer().ifPresent((answer) -> {
			this.answers.put(key, answer.body().length());
			this.answerCharacters += answer.body().length();
		});
		forgetAnswers();
	}

	private void forgetAnswers() {
		Iterator<Map.Entry<ClaimKey, Integer>> oldest = this.answers.entrySet().iterator();
		while (this.answerCharacters > this.maxAnswerCharacters) {
			Map.Entry<ClaimKey, Integer> answer = oldest.next();
			this.answerCharacters -= answer.getValue();
			this.entries.computeIfPresent(answer.getKey(), (key, entry) -> entry.withoutAnswer());
			oldest.remove();
		}
	}

	/**
	 * Forgets a key.
	 * @param key the key
	 */
	public void remove(ClaimKey key) {
		if (this.entries.remove(key) != null) {
			this.counts.computeIfPresent(key.organisation(), (organisation, count) -> (count > 1) ? count - 1 : null);
			Integer characters = this.answers.remove(key);
			this.answerCharacters -= (characters != null) ? characters : 0;
		}
	}

	/**
	 * Notes that the last statement about a key is being restated.
	 * @param key the key
	 * @param statedAt the wall-clock time in milliseconds
	 */
	public void restated(ClaimKey key, long statedAt) {
		Entry entry = this.entries.remove(key);
		if (entry != null) {
			this.entries.put(key, entry.statedAt(statedAt));
		}
	}

	/**
	 * Returns what is known about a key.
	 * @param key the key
	 * @return the entry, or empty if the key is free
	 */
	public Optional<Entry> find(ClaimKey key) {
		return Optional.ofNullable(this.entries.get(key));
	}

	/**
	 * Returns whether a claim holds its key without a final statement.
	 * @param record the claim
	 * @return {@code true} if it does
	 */
	public boolean holds(ClaimRecord record) {
		Entry entry = this.entries.get(ClaimKey.of(record));
		return entry != null && !entry.ended() && entry.sameClaim(record);
	}

	/**
	 * Returns the entry whose last statement is the oldest.
	 * @return the entry, or empty if all keys are free
	 */
	public Optional<Entry> oldest() {
		Iterator<Entry> iterator = this.entries.values().iterator();
		return iterator.hasNext() ? Optional.of(iterator.next()) : Optional.empty();
	}

	/**
	 * Returns what is known about all keys.
	 * @return a copy
	 */
	public Map<ClaimKey, Entry> entries() {
		return Map.copyOf(this.entries);
	}

	/**
	 * Returns the number of keys that are not free.
	 * @return the number
	 */
	public int size() {
		return this.entries.size();
	}

	/**
	 * Returns the number of an organisation's keys that are not free.
	 * @param organisation the organisation
	 * @return the number
	 */
	public int size(OrganisationId organisation) {
		return this.counts.getOrDefault(organisation, 0);
	}

	/**
	 * What is known about a key that is not free.
	 *
	 * @param statement the claim that holds the key or the final statement about it
	 * @param statedAt the wall-clock time in milliseconds of the last statement about the
	 * claim
	 */
	public record Entry(ClaimRecord statement, long statedAt) {

		/**
		 * Creates an entry.
		 * @throws NullPointerException if the statement is {@code null}
		 */
		public Entry {
			Objects.requireNonNull(statement, "statement");
		}

		/**
		 * Returns whether the statement is final.
		 * @return {@code true} if it is
		 */
		public boolean ended() {
			return this.statement.kind() != Kind.CLAIM;
		}

		/**
		 * Returns whether a statement is about the claim of this entry.
		 * @param record the statement
		 * @return {@code true} if it is
		 */
		public boolean sameClaim(ClaimRecord record) {
			return this.statement.claimId().equals(record.claimId());
		}

		/**
		 * Returns whether a claim made at a time may take the key.
		 * @param createdAt the wall-clock time in milliseconds
		 * @param windowMillis the milliseconds for which a key is remembered
		 * @return {@code true} if it may
		 */
		public boolean expiredAt(long createdAt, long windowMillis) {
			return ended() && createdAt > this.statement.createdAt() + windowMillis;
		}

		private boolean givesWayTo(ClaimRecord end, long windowMillis) {
			if (sameClaim(end)) {
				return !ended() || rank(end) > rank(this.statement);
			}
			return ended() ? LATER.compare(end, this.statement) > 0
					: this.statement.createdAt() <= end.createdAt() + windowMillis;
		}

		private static int rank(ClaimRecord end) {
			if (end.kind() == Kind.UNKNOWN) {
				return 0;
			}
			return end.answer().isPresent() ? 2 : 1;
		}

		private Entry statedAt(long time) {
			return new Entry(this.statement, Math.max(time, this.statedAt));
		}

		private Entry withoutAnswer() {
			return new Entry(this.statement.ended(this.statement.kind(), Optional.empty()), this.statedAt);
		}

	}

}
