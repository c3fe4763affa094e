package org.ebonyford.claim;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.ebonyford.identity.RequestId;
import org.ebonyford.request.Request;

/**
 * The work of this process on the requests whose keys it claims or has claimed, found by
 * key, by request and by claim.
 */
final class Attempts {

	/**
	 * The attempts by key.
	 */
	private final Map<ClaimKey, Attempt> byKey = new HashMap<>();

	/**
	 * The attempts by request.
	 */
	private final Map<RequestId, Attempt> byRequest = new HashMap<>();

	/**
	 * The attempts by the name of the claim.
	 */
	private final Map<String, Attempt> byClaim = new HashMap<>();

	/**
	 * The attempts whose claims wait for the log, the oldest first.
	 */
	private final LinkedHashMap<String, Attempt> pending = new LinkedHashMap<>();

	/**
	 * The number of the next claim.
	 */
	private long nextNumber;

	/**
	 * Returns the number of a new claim.
	 * @return the number, which is returned once
	 */
	long nextNumber() {
		return this.nextNumber++;
	}

	/**
	 * Adds an attempt.
	 * @param attempt the attempt
	 */
	void add(Attempt attempt) {
		this.byKey.put(attempt.key(), attempt);
		this.byRequest.put(attempt.request().id(), attempt);
		this.byClaim.put(attempt.claim().claimId(), attempt);
	}

	/**
	 * Removes an attempt.
	 * @param attempt the attempt
	 */
	void remove(Attempt attempt) {
		settled(attempt);
		this.byClaim.remove(attempt.claim().claimId());
		this.byRequest.remove(attempt.request().id());
		this.byKey.remove(attempt.key());
	}

	/**
	 * Notes that the claim of an attempt waits for the log.
	 * @param attempt the attempt
	 */
	void await(Attempt attempt) {
		this.pending.put(attempt.claim().claimId(), attempt);
	}

	/**
	 * Notes that the claim of an attempt waits for the log no longer.
	 * @param attempt the attempt
	 */
	void settled(Attempt attempt) {
		this.pending.remove(attempt.claim().claimId());
	}

	/**
	 * Returns the attempt on a key.
	 * @param key the key
	 * @return the attempt, or empty if there is none
	 */
	Optional<Attempt> find(ClaimKey key) {
		return Optional.ofNullable(this.byKey.get(key));
	}

	/**
	 * Returns the attempt of a request.
	 * @param request the request
	 * @return the attempt, or empty if there is none
	 */
	Optional<Attempt> find(RequestId request) {
		return Optional.ofNullable(this.byRequest.get(request));
	}

	/**
	 * Returns the attempt that a statement is about.
	 * @param statement the statement
	 * @return the attempt, or empty if there is none
	 */
	Optional<Attempt> find(ClaimRecord statement) {
		return claim(statement.claimId());
	}

	/**
	 * Returns the attempt that made a claim.
	 * @param claimId the name of the claim
	 * @return the attempt, or empty if there is none
	 */
	Optional<Attempt> claim(String claimId) {
		return Optional.ofNullable(this.byClaim.get(claimId));
	}

	/**
	 * Returns all attempts.
	 * @return a copy
	 */
	List<Attempt> all() {
		return List.copyOf(this.byKey.values());
	}

	/**
	 * Returns the requests whose deadline passed while their claims wait for the log.
	 * @param now the clock reading in milliseconds
	 * @return a copy
	 */
	List<Request> overdue(long now) {
		return this.pending.values()
			.stream()
			.map(Attempt::request)
			.filter((request) -> request.deadline() <= now)
			.toList();
	}

	/**
	 * Returns the attempts whose claims have waited for the log for long enough.
	 * @param until the clock reading in milliseconds up to which they began to wait
	 * @return a copy
	 */
	List<Attempt> impatient(long until) {
		return this.pending.values().stream().takeWhile((attempt) -> attempt.since() <= until).toList();
	}

	/**
	 * Returns the number of claims that wait for the log.
	 * @return the number
	 */
	int pending() {
		return this.pending.size();
	}

	/**
	 * Returns the number of attempts.
	 * @return the number
	 */
	int size() {
		return this.byKey.size();
	}

}
