package org.ebonyford.suspect;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.ebonyford.identity.Fingerprint;
import org.ebonyford.identity.UpstreamId;
import org.ebonyford.identity.VmId;

/**
 * One crash of an upstream and the requests that it was running.
 */
final class Crash {

	/**
	 * The requests that are remembered for one crash at most.
	 */
	private static final int MAX_RECORDED_REQUESTS = 256;

	/**
	 * The clock reading in milliseconds at which the crash became known.
	 */
	private final long knownAtMillis;

	/**
	 * The requests that the upstream was running and that did not complete elsewhere.
	 */
	private final Set<Fingerprint> requests = new HashSet<>();

	/**
	 * How many requests each router had running on the upstream.
	 */
	private final Map<VmId, Integer> runningCounts = new HashMap<>();

	/**
	 * Those of them that this router had sent.
	 */
	private final Set<Fingerprint> ownRequests = new HashSet<>();

	/**
	 * The requests that completed elsewhere.
	 */
	private final Set<Fingerprint> cleared = new HashSet<>();

	/**
	 * Creates a crash without requests.
	 * @param knownAtMillis the clock reading in milliseconds
	 */
	Crash(long knownAtMillis) {
		this.knownAtMillis = knownAtMillis;
	}

	/**
	 * Returns when the crash became known.
	 * @return the clock reading in milliseconds
	 */
	long knownAtMillis() {
		return this.knownAtMillis;
	}

	/**
	 * Returns the requests that may be to blame.
	 * @return the requests
	 */
	Set<Fingerprint> requests() {
		return this.requests;
	}

	/**
	 * Returns the requests that may be to blame and that this router had sent.
	 * @return the requests
	 */
	Set<Fingerprint> ownRequests() {
		return this.ownRequests;
	}

	/**
	 * Returns how many requests this router had running on the upstream.
	 * @param router the router
	 * @return the number
	 */
	int runningCount(VmId router) {
		return this.runningCounts.getOrDefault(router, 0);
	}

	/**
	 * Notes that this router had sent a request.
	 * @param request the request
	 */
	void markOwn(Fingerprint request) {
		if (this.requests.contains(request)) {
			this.ownRequests.add(request);
		}
	}

	/**
	 * Adds a request, unless it completed elsewhere.
	 * @param request the request
	 * @param router the router that sent it
	 * @param runningCount how many requests that router had running on the upstream. Of
	 * the numbers that a router tells for one crash the largest is right, since its
	 * exchanges end one after another.
	 */
	void add(Fingerprint request, VmId router, int runningCount) {
		if (this.requests.size() < MAX_RECORDED_REQUESTS && !this.cleared.contains(request)) {
			this.requests.add(request);
		}
		this.runningCounts.merge(router, runningCount, Math::max);
	}

	/**
	 * Removes a request that completed elsewhere.
	 * @param request the request
	 */
	void clear(Fingerprint request) {
		if (this.requests.remove(request)) {
			this.ownRequests.remove(request);
			this.cleared.add(request);
		}
	}

	/**
	 * Returns how many requests were running that are not known by name.
	 * @return the number
	 */
	int unidentifiedCount() {
		int total = this.runningCounts.values().stream().mapToInt(Integer::intValue).sum();
		return Math.max(0, total - this.cleared.size() - this.requests.size());
	}

	/**
	 * Identifies a crash.
	 *
	 * @param upstream the upstream
	 * @param incarnation the incarnation of the upstream that crashed
	 */
	record Key(UpstreamId upstream, long incarnation) {

		/**
		 * Creates a key.
		 * @throws NullPointerException if the upstream is {@code null}
		 */
		Key {
			Objects.requireNonNull(upstream, "upstream");
		}

	}

}
