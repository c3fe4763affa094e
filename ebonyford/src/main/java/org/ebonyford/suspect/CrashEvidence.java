package org.ebonyford.suspect;

import java.util.List;
import java.util.Objects;
import java.util.Set;

import org.ebonyford.identity.Fingerprint;
import org.ebonyford.identity.UpstreamId;

/**
 * What one router observed of a crash in its own exchanges. Routers send it to their
 * peers and store it.
 *
 * @param upstream the upstream that crashed
 * @param incarnation the incarnation of the upstream that crashed
 * @param requests the requests of this router that were running on the upstream and have
 * not completed elsewhere
 * @param runningCount the number of requests that this router had running on the upstream
 * @param knownAtMillis when the crash became known, in milliseconds of the router's
 * clock, or since the epoch in a report of a gateway
 * @param prompts the prompts of this router that were unanswered at the upstream
 */
public record CrashEvidence(UpstreamId upstream, long incarnation, Set<Fingerprint> requests, int runningCount,
		long knownAtMillis, List<UnansweredPrompt> prompts) {

	/**
	 * Creates evidence.
	 * @throws NullPointerException if the upstream is {@code null}
	 */
	public CrashEvidence {
		Objects.requireNonNull(upstream, "upstream");
		requests = Set.copyOf(requests);
		prompts = List.copyOf(prompts);
	}

	/**
	 * Creates evidence without prompts.
	 * @param upstream the upstream that crashed
	 * @param incarnation the incarnation of the upstream that crashed
	 * @param requests the requests of this router that were running on the upstream
	 * @param runningCount the number of requests that this router had running there
	 * @param knownAtMillis when the crash became known, in milliseconds
	 */
	public CrashEvidence(UpstreamId upstream, long incarnation, Set<Fingerprint> requests, int runningCount,
			long knownAtMillis) {
		this(upstream, incarnation, requests, runningCount, knownAtMillis, List.of());
	}

	/**
	 * Converts the evidence to another clock.
	 * @param millis when the crash became known by that clock, in milliseconds
	 * @return evidence of the same crash with that time
	 */
	public CrashEvidence withKnownAtMillis(long millis) {
		return new CrashEvidence(this.upstream, this.incarnation, this.requests, this.runningCount, millis,
				this.prompts);
	}

}
