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
 * A crash of one upstream and the requests that were running on it.
 * {@link SuspectTracker} blames these requests for the crash.
 */
final class Crash {

	/**
	 * The maximum number of requests recorded for one crash.
	 */
	private static final int MAX_RECORDED_REQUESTS = 256;

	/**
	 * The clock reading in milliseconds at which the crash became known.
	 */
	private final long knownAtMillis;

	/**
	 * The requests that were running on the upstream and have not completed elsewhere.
	 */
	private final Set<Fingerprint> requests = new HashSet<>();

	/**
	 * The number of requests that each router had running on the upstream.
	 */
	private final Map<VmId, Integer> runningCounts = new HashMap<>();

	/**
	 * The subset of {@link #requests} that this router sent.
	 */
	private final Set<Fingerprint> ownRequests = new HashSet<>();

	/**
	 * The requests that have completed elsewhere and so did not cause the crash.
	 */
	private final Set<Fingerprint> cleared = new HashSet<>();

	/**
	 * Creates a crash without requests.
	 * @param knownAtMillis the clock reading in milliseconds at which the crash became
	 * known
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
	 * Returns the requests that may have caused the crash.
	 * @return the requests that have not completed elsewhere
	 */
	Set<Fingerprint> requests() {
		return this.requests;
	}

	/**
	 * Returns the requests that may have caused the crash and that this router sent.
	 * @return a subset of {@link #requests()}
	 */
	Set<Fingerprint> ownRequests() {
		return this.ownRequests;
	}

	/**
	 * Returns the number of requests that a router had running on the upstream.
	 * @param router the router
	 * @return the number, 0 if the router has not reported the crash
	 */
	int runningCount(VmId router) {
		return this.runningCounts.getOrDefault(router, 0);
	}

	/**
	 * Marks a request as sent by this router. Ignored if the request is not among
	 * {@link #requests()}.
	 * @param request the request
	 */
	void markOwn(Fingerprint request) {
		if (this.requests.contains(request)) {
			this.ownRequests.add(request);
		}
	}

	/**
	 * Adds a request unless it has completed elsewhere or the crash is full.
	 * @param request the request
	 * @param router the router that sent it
	 * @param runningCount the number of requests that this router had running on the
	 * upstream. A router reports a crash once for each broken exchange, with a falling
	 * number, so the maximum is the right one.
	 */
	void add(Fingerprint request, VmId router, int runningCount) {
		if (this.requests.size() < MAX_RECORDED_REQUESTS && !this.cleared.contains(request)) {
			this.requests.add(request);
		}
		this.runningCounts.merge(router, runningCount, Math::max);
	}

	/**
	 * Removes a request that has completed elsewhere.
	 * @param request the request
	 */
	void clear(Fingerprint request) {
		if (this.requests.remove(request)) {
			this.ownRequests.remove(request);
			this.cleared.add(request);
		}
	}

	/**
	 * Returns the number of requests that were running on the upstream but whose
	 * fingerprints are not known.
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
