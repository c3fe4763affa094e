package org.ebonyford.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

import org.ebonyford.identity.RequestId;
import org.ebonyford.request.Request;

/**
 * The repeats that wait for the end of a claim on their key.
 */
final class Waiters {

	/**
	 * The groups of repeats by their key.
	 */
	private final Map<ClaimKey, Group> groups = new LinkedHashMap<>();

	/**
	 * The key of each repeat.
	 */
	private final Map<RequestId, ClaimKey> keys = new HashMap<>();

	/**
	 * Adds a repeat.
	 * @param claim the claim that it waits for
	 * @param request the repeat
	 * @param now the clock reading in milliseconds
	 * @return whether it is the first one that waits for this claim
	 */
	boolean add(ClaimRecord claim, Request request, long now) {
		ClaimKey key = ClaimKey.of(claim);
		Group group = this.groups.computeIfAbsent(key, (absent) -> new Group());
		boolean first = group.claim == null || !group.claim.claimId().equals(claim.claimId());
		group.claim = claim;
		group.repeats.put(request.id(), new Repeat(request, now));
		this.keys.put(request.id(), key);
		return first;
	}

	/**
	 * Removes a repeat.
	 * @param request the repeat
	 * @return whether it waited
	 */
	boolean remove(RequestId request) {
		ClaimKey key = this.keys.remove(request);
		if (key == null) {
			return false;
		}
		Group group = this.groups.get(key);
		group.repeats.remove(request);
		if (group.repeats.isEmpty()) {
			this.groups.remove(key);
		}
		return true;
	}

	/**
	 * Removes all repeats that wait for a key.
	 * @param key the key
	 * @return the repeats in the order of their arrival
	 */
	List<Request> removeAll(ClaimKey key) {
		Group group = this.groups.remove(key);
		if (group == null) {
			return List.of();
		}
		group.repeats.keySet().forEach(this.keys::remove);
		return group.repeats.values().stream().map(Repeat::request).toList();
	}

	/**
	 * Removes the repeats that have waited for long enough.
	 * @param until the clock reading in milliseconds up to which they began to wait
	 * @return the repeats
	 */
	List<Request> removeOlder(long until) {
		return removeIf((repeat) -> repeat.since() <= until);
	}

	/**
	 * Removes the repeats whose deadline passed.
	 * @param now the clock reading in milliseconds
	 * @return the repeats
	 */
	List<Request> removeOverdue(long now) {
		return removeIf((repeat) -> repeat.request().deadline() <= now);
	}

	private List<Request> removeIf(Predicate<Repeat> condition) {
		List<Request> removed = this.groups.values()
			.stream()
			.flatMap((group) -> group.repeats.values().stream())
			.filter(condition)
			.map(Repeat::request)
			.toList();
		removed.forEach((request) -> remove(request.id()));
		return removed;
	}

	/**
	 * Returns the claims that repeats wait for.
	 * @return a copy, one claim for each key
	 */
	List<ClaimRecord> claims() {
		return this.groups.values().stream().map((group) -> group.claim).toList();
	}

	/**
	 * Returns the claims whose holders are due to be asked and notes that they are asked.
	 * @param now the clock reading in milliseconds
	 * @param interval the milliseconds between two questions
	 * @return the claims
	 */
	List<ClaimRecord> due(long now, long interval) {
		List<ClaimRecord> due = new ArrayList<>();
		for (Group group : this.groups.values()) {
			if (now >= group.askAt) {
				group.askAt = now + interval;
				due.add(group.claim);
			}
		}
		return due;
	}

	/**
	 * Returns the key whose repeats wait for a claim.
	 * @param claimId the name of the claim
	 * @return the key, or empty if none waits for it
	 */
	Optional<ClaimKey> key(String claimId) {
		return this.groups.values()
			.stream()
			.map((group) -> group.claim)
			.filter((claim) -> claim.claimId().equals(claimId))
			.map(ClaimKey::of)
			.findFirst();
	}

	/**
	 * Returns the number of repeats that wait.
	 * @return the number
	 */
	int size() {
		return this.keys.size();
	}

	/**
	 * The repeats that wait for one key.
	 */
	private static final class Group {

		/**
		 * The repeats in the order of their arrival.
		 */
		private final LinkedHashMap<RequestId, Repeat> repeats = new LinkedHashMap<>();

		/**
		 * The claim that they wait for.
		 */
		private ClaimRecord claim;

		/**
		 * The clock reading in milliseconds from which on the holder is asked again.
		 */
		private long askAt = Long.MIN_VALUE;

	}

	/**
	 * One repeat that waits.
	 *
	 * @param request the repeat
	 * @param since the clock reading in milliseconds at which it began to wait
	 */
	private record Repeat(Request request, long since) {

	}

}
