package org.ebonyford.gateway.wire;

import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The names of the headers that a gateway reads or sets.
 *
 * @param requestId the identifier of a request, echoed in its answer
 * @param deadlineMillis how many milliseconds the caller still waits
 * @param organisation the organisation of the request, set by the gateway
 * @param expectedUpstream the upstream that is to answer, set by the gateway
 * @param seal the seal of an upstream's answer
 * @param notExecuted marks an answer to a request that was not run
 * @param leaving marks the answers of an upstream that is about to end
 * @param requestLimit the requests a second that the answering upstream takes from all
 * gateways together
 * @param memorySource the address of the engine from which an engine fetches the memory
 * of shared parts of a prompt, set by the gateway
 * @param resumedRequest the request whose answer began the stream that a caller takes up
 * again
 * @param backupTarget the address of the engine to which an engine copies the memory of a
 * running request, set by the gateway
 * @param copiedRun the address of an engine and the run, copied to it, that it is to
 * continue, set by the gateway
 * @param reserved further headers that only a gateway may set
 */
public record HeaderNames(String requestId, String deadlineMillis, String organisation, String expectedUpstream,
		String seal, String notExecuted, String leaving, String requestLimit, String memorySource,
		String resumedRequest, String backupTarget, String copiedRun, Set<String> reserved) {

	/**
	 * Creates names.
	 */
	public HeaderNames {
		reserved = reserved.stream().map((name) -> name.toLowerCase(Locale.ROOT)).collect(Collectors.toSet());
	}

	/**
	 * Returns whether only a gateway may set a header.
	 * @param name the name of the header
	 * @return {@code true} if it is not taken from callers
	 */
	public boolean reserved(String name) {
		return name.equalsIgnoreCase(this.organisation) || name.equalsIgnoreCase(this.expectedUpstream)
				|| name.equalsIgnoreCase(this.deadlineMillis) || name.equalsIgnoreCase(this.memorySource)
				|| name.equalsIgnoreCase(this.backupTarget) || name.equalsIgnoreCase(this.copiedRun)
				|| this.reserved.contains(name.toLowerCase(Locale.ROOT));
	}

}
