package org.ebonyford.suspect;

import java.util.Objects;
import java.util.Set;

import org.ebonyford.identity.Fingerprint;
import org.ebonyford.identity.UpstreamId;

/**
 * What a router knows of a crash from its own exchanges.
 *
 * @param upstream the upstream that crashed
 * @param incarnation the incarnation of the upstream that crashed
 * @param requests the requests of this router that the upstream was running and that did
 * not complete elsewhere
 * @param runningCount how many requests this router had running on the upstream
 * @param knownAtMillis when the crash became known, in milliseconds of the clock of
 * whoever asks
 */
public record CrashEvidence(UpstreamId upstream, long incarnation, Set<Fingerprint> requests, int runningCount,
		long knownAtMillis) {

	/**
	 * Creates evidence.
	 * @throws NullPointerException if the upstream is {@code null}
	 */
	public CrashEvidence {
		Objects.requireNonNull(upstream, "upstream");
		requests = Set.copyOf(requests);
	}

	/**
	 * Creates evidence of the same crash that counts time by another clock.
	 * @param millis when the crash became known by that clock, in milliseconds
	 * @return the evidence
	 */
	public CrashEvidence withKnownAtMillis(long millis) {
		return new CrashEvidence(this.upstream, this.incarnation, this.requests, this.runningCount, millis);
	}

}
